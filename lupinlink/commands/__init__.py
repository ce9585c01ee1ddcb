"""The command line: one module per sub-command, its docstring being the usage. ``cli`` imports only that."""
