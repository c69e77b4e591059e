"""File contents on the wire: configuration is repetitive text, and links have a byte budget."""

import zlib

from carawayhub.codes import Code
from carawayhub.errors import PeerError

LEVEL = 1


def pack(content: bytes) -> bytes:
    """Return ``content`` compressed."""
    return zlib.compress(content, LEVEL)


def unpack(packed: bytes, most: int) -> bytes:
    """Return the content of ``packed``.

    Args:
        packed: What ``pack`` returned.
        most: Bytes above which it is refused; a few bytes could otherwise fill the memory.

    Raises:
        PeerError: PEER_PROTOCOL when it is damaged or too large.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(packed, most + 1)
    except zlib.error as exc:
        raise PeerError(Code.PEER_PROTOCOL, f"a content is damaged: {exc}") from exc
    if not stream.eof or len(content) > most:
        raise PeerError(Code.PEER_PROTOCOL, f"a content is cut or over {most} bytes")
    return content
