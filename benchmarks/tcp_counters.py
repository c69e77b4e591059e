"""What TCP has counted on this process's own sockets to one port."""

import socket
import struct
from pathlib import Path

TCP_INFO_LENGTH = 144
TCP_INFO_COUNTERS = struct.Struct("<QQII")
COUNTERS_AT = 120


def tcp_totals(port: int) -> tuple[int, int, int]:
    """Return bytes sent, bytes received and segments of this process's sockets to a port."""
    sent = received = segments = 0
    for fd in Path("/proc/self/fd").iterdir():
        counters = _counters(int(fd.name), port)
        if counters is not None:
            sent += counters[0]
            received += counters[1]
            segments += counters[2] + counters[3]
    return sent, received, segments


def _counters(fd: int, port: int) -> tuple[int, int, int, int] | None:
    try:
        sock = socket.socket(fileno=fd)
    except OSError:
        return None
    try:
        if sock.family != socket.AF_INET or sock.getpeername()[1] != port:
            return None
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LENGTH)
    except OSError:
        return None
    finally:
        # The number belongs to the link that is measured, which closes it.
        sock.detach()
    sent, received, out, into = TCP_INFO_COUNTERS.unpack_from(info, COUNTERS_AT)
    return sent, received, out, into
