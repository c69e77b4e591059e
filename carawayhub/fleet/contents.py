"""Stores file contents by digest: those in force and those being fetched."""

import hashlib
from collections.abc import Iterable

from carawayhub.codes import Code
from carawayhub.config.files import MAX_FILE_BYTES
from carawayhub.errors import PeerError
from carawayhub.fleet.compression import pack, unpack
from carawayhub.fleet.messages import CONTENT_BYTES, FileChunk, FilesReply, FilesRequest


class ContentStore:
    """Stores contents with verified digests, and serves parts of them to peers."""

    __slots__ = ("_contents", "_packed")

    def __init__(self) -> None:
        self._contents: dict[str, bytes] = {}
        self._packed: dict[str, bytes] = {}

    def __contains__(self, digest: str) -> bool:
        return digest in self._contents

    def get(self, digest: str) -> bytes:
        """Return the content with this digest.

        Raises:
            KeyError: There is no such content.
        """
        return self._contents[digest]

    def add(self, digest: str, content: bytes) -> None:
        """Store ``content`` after verifying its digest.

        Raises:
            PeerError: CONFIG_DIGEST_MISMATCH.
        """
        if hashlib.sha256(content).hexdigest() != digest:
            raise PeerError(Code.CONFIG_DIGEST_MISMATCH, f"file {digest}")
        self._contents[digest] = content

    def add_packed(self, packed: bytes) -> None:
        """Store a compressed content under its computed digest.

        Raises:
            PeerError: PEER_PROTOCOL when it cannot be read.
        """
        content = unpack(packed, CONTENT_BYTES)
        digest = hashlib.sha256(content).hexdigest()
        self._contents[digest] = content
        self._packed[digest] = packed

    def keep_only(self, digests: Iterable[str]) -> None:
        """Remove all other contents."""
        kept = set(digests)
        self._contents = {key: value for key, value in self._contents.items() if key in kept}
        self._packed = {key: value for key, value in self._packed.items() if key in kept}

    def small(self, digests: Iterable[str]) -> tuple[bytes, ...]:
        """Return compressed contents in the order given, as long as they fit one message."""
        contents: list[bytes] = []
        remaining_bytes = CONTENT_BYTES
        for digest in digests:
            content = self._contents.get(digest)
            if content is None or len(content) > remaining_bytes:
                break
            remaining_bytes -= len(content)
            contents.append(self._pack(digest))
        return tuple(contents)

    def serve(self, req: FilesRequest) -> FilesReply:
        """Return as many of the requested files as fit one message."""
        chunks: list[FileChunk] = []
        remaining_bytes = CONTENT_BYTES
        offset = req.offset
        for digest in req.digests:
            content = self._contents.get(digest)
            if content is None:
                offset = 0
                continue
            if chunks and len(content) > remaining_bytes:
                break
            data = content[offset : offset + remaining_bytes]
            chunks.append(
                FileChunk(digest=digest, offset=offset, size=len(content), data=pack(data))
            )
            remaining_bytes -= len(data)
            offset = 0
            if remaining_bytes <= 0:
                break
        return FilesReply(chunks=tuple(chunks))

    def _pack(self, digest: str) -> bytes:
        # Cached because the same change is sent to several peers within a second.
        packed = self._packed.get(digest)
        if packed is None:
            packed = self._packed[digest] = pack(self._contents[digest])
        return packed


class PartialFile:
    """A file received in parts from one peer."""

    __slots__ = ("_data", "digest")

    def __init__(self) -> None:
        self.digest = ""
        self._data = bytearray()

    def offset(self, digest: str) -> int:
        """Return the number of bytes received of the file with this digest."""
        return len(self._data) if digest == self.digest else 0

    def add(self, chunk: FileChunk) -> bytes | None:
        """Append a part and return the content once it is complete.

        Raises:
            PeerError: PEER_PROTOCOL when the part doesn't continue the previous ones.
        """
        if chunk.size > MAX_FILE_BYTES or chunk.offset != self.offset(chunk.digest):
            raise PeerError(
                Code.PEER_PROTOCOL, f"part of file {chunk.digest} is too large or out of order"
            )
        if chunk.offset == 0:
            self.digest, self._data = chunk.digest, bytearray()
        data = unpack(chunk.data, CONTENT_BYTES)
        if not data and chunk.size > chunk.offset:
            raise PeerError(Code.PEER_PROTOCOL, f"empty part of file {chunk.digest}")
        self._data += data
        if len(self._data) < chunk.size:
            return None
        content, self._data, self.digest = bytes(self._data), bytearray(), ""
        return content
