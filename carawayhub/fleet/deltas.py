"""Requests changes from a peer, and answers such requests."""

from dataclasses import dataclass

from carawayhub.codes import Code
from carawayhub.errors import PeerError
from carawayhub.fleet.contents import ContentStore, PartialFile
from carawayhub.fleet.manifest import (
    Delta,
    History,
    Manifest,
    VersionId,
    manifest_digest,
    states_digest,
)
from carawayhub.fleet.messages import (
    DIGESTS_PER_REQUEST,
    NAMES_PER_PAGE,
    Document,
    FilesRequest,
    ManifestReply,
    ManifestRequest,
)
from carawayhub.fleet.ports import FleetPeers

MAX_PAGES = 64


@dataclass(frozen=True, slots=True)
class Fetched:
    """A peer's manifest, assembled from the received changes, with the attached contents."""

    manifest: Manifest
    contents: tuple[bytes, ...]


def answer(history: History, req: ManifestRequest, contents: ContentStore) -> ManifestReply:
    """Return one page of the changes since the version in the request."""
    current = history.current
    base = VersionId(req.base_version, req.base_digest)
    delta = history.since(base)
    if delta is None:
        base, delta = VersionId(), Delta(dict(current.files), ())
    names = sorted(delta.changed)
    page = names[req.start : req.start + NAMES_PER_PAGE]
    first = req.start == 0
    complete = first and base.version > 0 and len(page) == len(names)
    return ManifestReply(
        version=current.id.version,
        digest=current.id.digest,
        base_version=base.version,
        changed=tuple((name, delta.changed[name]) for name in page),
        removed=delta.removed if first else (),
        total=len(names),
        contents=contents.small(delta.changed[name] for name in page) if complete else (),
    )


async def fetch(peers: FleetPeers, peer: str, document: Document, base: Manifest) -> Fetched:
    """Ask ``peer`` for its newest manifest as changes to ``base``.

    Raises:
        PeerError: The peer did not answer, or its changes don't match the announced digest.
    """
    fetched = await _fetch_pages(peers, peer, document, base)
    if _matches(document, fetched.manifest):
        return fetched
    # The peer's record of the base version differs from the local one, so its changes don't apply.
    # Only a complete manifest is certain to be correct.
    fetched = await _fetch_pages(peers, peer, document, Manifest())
    if not _matches(document, fetched.manifest):
        raise PeerError(Code.CONFIG_DIGEST_MISMATCH, f"manifest of {peer}")
    return fetched


async def fetch_files(
    peers: FleetPeers, peer: str, missing: list[str], contents: ContentStore
) -> None:
    """Ask ``peer`` for the contents with the digests in ``missing`` and store them.

    Raises:
        PeerError: The peer did not answer, doesn't have one, or sent a different content.
    """
    partial = PartialFile()
    while missing:
        asked = tuple(missing[:DIGESTS_PER_REQUEST])
        reply = await peers.files(
            peer, FilesRequest(digests=asked, offset=partial.offset(asked[0]))
        )
        if not reply.chunks:
            raise PeerError(Code.PEER_PROTOCOL, f"{peer} doesn't have the files that it announced")
        for chunk in reply.chunks:
            content = partial.add(chunk)
            if content is not None:
                contents.add(chunk.digest, content)
        missing = [digest for digest in missing if digest not in contents]


async def _fetch_pages(peers: FleetPeers, peer: str, document: Document, base: Manifest) -> Fetched:
    changed: dict[str, str] = {}
    first: ManifestReply | None = None
    for _ in range(MAX_PAGES):
        reply = await peers.manifest(
            peer,
            ManifestRequest(
                document=document,
                base_version=base.id.version,
                base_digest=base.id.digest,
                start=len(changed),
            ),
        )
        first = first or reply
        if (reply.version, reply.digest) != (first.version, first.digest):
            raise PeerError(Code.PEER_PROTOCOL, f"{peer} changed its version between two pages")
        changed.update(reply.changed)
        if len(changed) >= reply.total:
            return _assemble(first, changed, base)
        if not reply.changed:
            break
    raise PeerError(Code.PEER_PROTOCOL, f"manifest of {peer} is incomplete")


def _assemble(first: ManifestReply, changed: dict[str, str], base: Manifest) -> Fetched:
    files = base.files if first.base_version else {}
    delta = Delta(changed, first.removed)
    manifest = Manifest(VersionId(first.version, first.digest), delta.apply(files))
    return Fetched(manifest, first.contents)


def _matches(document: Document, manifest: Manifest) -> bool:
    if document is Document.VM_LIST:
        return manifest.id.digest == states_digest(manifest.files)
    try:
        return manifest.id.digest == manifest_digest(manifest.files)
    except ValueError:
        return False
