"""Options for TCP connections whose peer may disappear without closing them."""

import socket
import struct

LIVENESS_SECONDS = 1
"""Seconds of silence on an idle connection before it is probed, and between two probes."""

UNACKNOWLEDGED_MS = 1200
"""Maximum milliseconds for which sent bytes may stay unacknowledged.

Round trips take a few milliseconds and a lost packet is retransmitted within 200 ms, so a
connection that acknowledges nothing for this long has lost its peer.
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
"""Fail a connection whose peer lost power, was disconnected or lost the connection's state.

Such a connection reports no error: reads block forever, while new connections work.
"""

_ZERO_LINGER = struct.pack("ii", 1, 0)

ABORTING_OPTIONS: list[SocketOption] = [
    *LIVENESS_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER),
]
"""Close connections with a reset.

Guards against requests that run for callers who have disconnected. A suspended VM still receives
bytes; after an orderly close its endpoint finds a complete request when it resumes, and cannot tell
whether the caller only closed its sending side. A reset discards data in flight, and the first
read fails at the endpoint. Complete answers are read before their connection is closed, so nothing
else is lost.
"""
