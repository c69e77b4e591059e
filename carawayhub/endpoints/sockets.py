"""Options of TCP connections whose other end may vanish without a word."""

import socket
import struct

LIVENESS_SECONDS = 1
"""Seconds of silence on an idle connection before it is probed, and between two probes."""

UNACKNOWLEDGED_MS = 1200
"""Milliseconds for which sent bytes may stay unacknowledged.

Round trips take a few milliseconds and a lost packet is sent again within 200 ms, so a connection
that acknowledges nothing for this long has lost its other end.
"""

SocketOption = (
    tuple[int, int, int] | tuple[int, int, bytes | bytearray] | tuple[int, int, None, int]
)

LIVENESS_OPTIONS: list[SocketOption] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, LIVENESS_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, LIVENESS_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]
"""Make a connection break whose other end lost power, was cut off or forgot about it.

Such a connection shows nothing at all: reads wait for ever, while new connections work.
"""

_LINGER_FOR_NO_TIME = struct.pack("ii", 1, 0)

ABORTING_OPTIONS: list[SocketOption] = [
    *LIVENESS_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_FOR_NO_TIME),
]
"""Make the close of a connection a reset.

Guards against requests that run for callers who have left. A VM that is suspended still takes bytes
in; after an orderly close its endpoint finds a whole request when it wakes, from a caller that may
only have ended its sending. A reset drops what is still on the way, and the endpoint learns with
its first look that nobody waits. Whole answers were read before their connection is closed, so
nothing else is lost.
"""
