"""Starts processes for a benchmark and reads what they spend; nothing else starts a process."""

import os
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
START_BOUND = 20.0
STOP_BOUND = 10.0
POLL = 0.05
KIB = 1024
MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has spent so far.

    Attributes:
        cpu: Processor seconds, user and system.
        resident: Resident bytes.
    """

    cpu: float
    resident: int


class Process:
    """One Python module that runs in a process of its own until it is stopped.

    Args:
        args: Arguments after ``python -m``.
        log: File that takes its output.
    """

    __slots__ = ("_process", "name")

    def __init__(self, args: list[str], log: Path) -> None:
        self.name = log.stem
        with log.open("wb") as out:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *args], stdout=out, stderr=subprocess.STDOUT
            )

    def usage(self) -> Usage:
        """Return what the process has spent so far."""
        pid = self._process.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return Usage(
            cpu=(int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
            resident=_resident(Path(f"/proc/{pid}/status").read_text()),
        )

    def stop(self) -> None:
        """End the process, by force where it does not follow a request to end."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(STOP_BOUND)


def _resident(status: str) -> int:
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) * KIB


def wait_for_port(port: int) -> None:
    """Return when something listens on the port of the loopback interface.

    Raises:
        TimeoutError: Nothing does within 20 seconds.
    """
    end = time.monotonic() + START_BOUND
    while time.monotonic() < end:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(POLL)
    raise TimeoutError(f"nothing listens on port {port}")
