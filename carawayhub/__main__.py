"""Runs the command: ``python -m carawayhub``."""

import sys

from carawayhub.core import main


def run() -> None:
    """Run the command and end the process with its status."""
    sys.exit(main())


if __name__ == "__main__":
    run()
