"""Compresses file contents for links, which have a byte budget; configuration is repetitive."""

import zlib

from carawayhub.codes import Code
from carawayhub.errors import PeerError

LEVEL = 1


def pack(content: bytes) -> bytes:
    """Return ``content`` compressed."""
    return zlib.compress(content, LEVEL)


def unpack(packed: bytes, max_bytes: int) -> bytes:
    """Return the content of ``packed``.

    Args:
        packed: What ``pack`` returned.
        max_bytes: Size above which it is refused; a few bytes could otherwise fill the memory.

    Raises:
        PeerError: PEER_PROTOCOL when it is damaged or too large.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(packed, max_bytes + 1)
    except zlib.error as exc:
        raise PeerError(Code.PEER_PROTOCOL, f"content is damaged: {exc}") from exc
    if not stream.eof or len(content) > max_bytes:
        raise PeerError(
            Code.PEER_PROTOCOL, f"content is truncated or larger than {max_bytes} bytes"
        )
    return content
