"""The load tool: open-loop load against any balancer, or stub server, by address.

Connections and lines have times that are drawn ahead and do not wait for answers; every delay is counted
from that time, so that a balancer that stalls is charged for all that came meanwhile (no coordinated
omission). The tool watches itself: where it was late, the report says so instead of blaming the balancer.

From the top:

    runner        plays a load, in one process or several
    connection    one connection of a load: its request, its lines, its end
    report        what came of a load, for a person
    json_file     the same as a file
    options       what is sent
    phases        arrivals of new connections
    errors        what a load may not be
"""

from walkloom.lab.load.errors import LoadError
from walkloom.lab.load.options import LoadOptions
from walkloom.lab.load.phases import Phase, draw_arrivals
from walkloom.lab.load.report import LoadReport
from walkloom.lab.load.runner import play, run

__all__ = ["LoadError", "LoadOptions", "LoadReport", "Phase", "draw_arrivals", "play", "run"]
