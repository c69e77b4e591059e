"""Runs the command: ``python -m carawayhub``."""

import sys

from carawayhub.core import main
from carawayhub.streams import reserve_standard_streams


def run() -> None:
    """Run the command and end the process with its status."""
    reserve_standard_streams()
    sys.exit(main())


if __name__ == "__main__":
    run()
