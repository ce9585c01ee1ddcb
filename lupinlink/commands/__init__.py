"""The command line: a module per sub-command, its docstring being the usage; ``cli`` imports only that one."""
