"""Importers: convert the server lists of other balancers to an endpoint list in discovery's form.

Layers, from the top:

- `command` reads files and prints the list (`walkloom import`); `parser` is its former module.
- `apache` reads the configuration of mod_proxy_balancer, `mod_jk` reads worker files.
- `model` defines the imported servers, the errors and the form of the printed list.
- `logical_lines` joins continued lines.

`main` is the entry point of the command line.
"""

from walkloom.importers.command import main

__all__ = ["main"]
