"""Importers: read the server lists of other balancers, for an endpoint list in discovery's form.

Layers, from the top:

- `command` reads files and prints the list (`walkloom import`); `parser` is its former address.
- `apache` reads the configuration of mod_proxy_balancer, `mod_jk` reads worker files.
- `model` holds what both read, the errors, and the form of the printed list.
- `logical_lines` joins lines that are continued.

`main` is the entry of the command line.
"""

from walkloom.importers.command import main

__all__ = ["main"]
