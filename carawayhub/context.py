"""What a command meets of the outside: its streams."""

import sys
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(slots=True)
class Environment:
    """The streams of one run of a command, so that tests can put their own in place.

    Attributes:
        stdin: Where input comes from.
        stdout: Where results go.
        stderr: Where messages for people go.
    """

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
