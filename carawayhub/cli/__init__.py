"""The command line: its definition and the work behind each command."""
