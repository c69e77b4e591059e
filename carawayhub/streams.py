"""The standard streams at the start of the process."""

import os

STANDARD_STREAMS = (0, 1, 2)


def reserve_standard_streams() -> None:
    """Open the null device in place of each standard stream that was closed by who started us.

    Without it the first sockets get the numbers 0 to 2. ``uvloop`` refuses to close such a number
    and ends the process, and what is meant for standard error would go to a peer.
    """
    for number in STANDARD_STREAMS:
        try:
            os.fstat(number)
        except OSError:
            # The lowest free number is taken, and all below are open by now.
            os.open(os.devnull, os.O_RDWR)
