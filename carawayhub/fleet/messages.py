"""Messages that distribute the configuration and the VM list between processes.

A process receives newer version numbers in heartbeats. It requests the changes since its own
version from one peer, and then the contents that the reply didn't include. No message is larger
than ``MAX_MESSAGE_BYTES``.
"""

from enum import Enum

import msgspec

MAX_MESSAGE_BYTES = 256_000
CONTENT_BYTES = 128_000
NAMES_PER_PAGE = 1_000
DIGESTS_PER_REQUEST = 1_000


class Document(Enum):
    """The distributed document."""

    CONFIGURATION = "configuration"
    VM_LIST = "vm_list"


class ManifestRequest(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Requests the changes since the sender's version.

    Attributes:
        document: Configuration or VM list.
        base_version: Version that the sender has, 0 for a complete manifest.
        base_digest: Its digest.
        start: Number of changed names to skip, for the next page of a long reply.
    """

    document: Document
    base_version: int = 0
    base_digest: str = ""
    start: int = 0


class ManifestReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The changes since the base version.

    Attributes:
        version: Version that the replying process has in force, 0 for none.
        digest: Its digest.
        base_version: Version to which the changes apply; 0 if ``changed`` is the complete manifest.
        changed: New and changed names with their digests, one page of them.
        removed: Removed names; on the first page only.
        total: Number of changed names over all pages.
        contents: Compressed contents of changed files, if they are small.
    """

    version: int
    digest: str
    base_version: int = 0
    changed: tuple[tuple[str, str], ...] = ()
    removed: tuple[str, ...] = ()
    total: int = 0
    contents: tuple[bytes, ...] = ()


class FilesRequest(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Requests file contents.

    Attributes:
        digests: SHA-256 of the files, at most ``DIGESTS_PER_REQUEST``.
        offset: Bytes of the first file that the sender already has.
    """

    digests: tuple[str, ...]
    offset: int = 0


class FileChunk(msgspec.Struct, frozen=True, kw_only=True):
    """A part of one file.

    Attributes:
        digest: SHA-256 of the complete file.
        offset: Offset of the part in the file, in bytes before compression.
        size: Size of the complete file in bytes.
        data: The part, compressed.
    """

    digest: str
    offset: int
    size: int
    data: bytes


class FilesReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """As many of the files as fit one message; the sender requests the rest again.

    Attributes:
        chunks: Complete files, or one part of the first file.
    """

    chunks: tuple[FileChunk, ...] = ()
