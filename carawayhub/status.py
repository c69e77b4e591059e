"""Exit statuses of the commands; they are documented and stable."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a command tells the shell."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    CONFIG_REFUSED = 3
    OUTCOME_MISSED = 4
    TARGET_UNREACHABLE = 5
    PORT_IN_USE = 6

    INTERRUPTED = 130
    """128 and the number of SIGINT, as shells count it."""
