"""The load tool: open-loop load against any balancer or stub server, by address.

Connections and lines are scheduled in advance and do not wait for answers. Every delay is measured from the
scheduled time, so a balancer that stalls is charged for all arrivals during the stall (no coordinated
omission). The tool also measures its own lateness: if it was late or short of CPU time, the report says so
instead of blaming the balancer.

Modules, from high level to low level:

    runner        generates a load, in one process or several
    connection    one connection of a load: its request, its lines, its end
    report        the results of a load, and their printed form
    json_file     the results as a JSON file
    options       the parameters of a load
    phases        arrivals of new connections
    errors        invalid parameters
"""

from walkloom.lab.load.errors import LoadError
from walkloom.lab.load.options import LoadOptions
from walkloom.lab.load.phases import Phase, draw_arrivals
from walkloom.lab.load.report import LoadReport
from walkloom.lab.load.runner import generate_load, run

__all__ = ["LoadError", "LoadOptions", "LoadReport", "Phase", "draw_arrivals", "generate_load", "run"]
