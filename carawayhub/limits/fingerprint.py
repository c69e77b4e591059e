"""Identifies requests by their content, independent of the caller's attempt.

Callers give each attempt its own id, so a retry after a failure looks like a new request to every
entry; all attempts have the same fingerprint. Requests that differ may still share parts of their
prompts, which have fingerprints of their own.
"""

import hashlib
from dataclasses import dataclass

FINGERPRINT_BYTES = 12
"""Length of a fingerprint: two of a billion requests collide with a probability of 1 in 10^11."""

PART_FINGERPRINT_BYTES = 8
"""Length of a part's fingerprint: two of a million parts collide with a probability of 1 in 10^7.
It differs from that of a request, so that neither is taken for the other."""

MAX_PARTS = 64
"""Maximum number of parts of a prompt that are identified: bounds the cost of a request."""


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """What a request may have in common with others.

    Attributes:
        content: Fingerprint of the whole request.
        parts: Fingerprints of the shareable parts of its prompt, in order.
    """

    content: bytes = b""
    parts: tuple[bytes, ...] = ()

    @property
    def all(self) -> tuple[bytes, ...]:
        """All fingerprints of the request."""
        return (self.content, *self.parts)

    @property
    def logged_parts(self) -> list[str]:
        """Fingerprints of the parts for a log line."""
        return [each.hex() for each in self.parts]


def fingerprint(caller: str, method: str, host: str, target: bytes, body: bytes) -> bytes:
    """Return the fingerprint of a request.

    Headers are excluded: ids, deadlines and the event after which a stream resumes differ between
    attempts.

    Args:
        caller: Organisation that sent it, empty if unknown.
        method: HTTP method.
        host: Requested host, case-insensitive.
        target: Path and query as sent.
        body: Complete body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (caller, method, host.lower()):
        digest.update(part.encode() + b"\0")
    digest.update(target + b"\0")
    digest.update(body)
    return digest.digest()


def part_fingerprint(model: bytes, part: bytes) -> bytes:
    """Return the fingerprint of a part of prompts, which does not depend on its place in them.

    Args:
        model: Model that reads the prompt: another one may cope with the same part.
        part: The part, or an id of it.
    """
    digest = hashlib.blake2b(model + b"\0", digest_size=PART_FINGERPRINT_BYTES)
    digest.update(part)
    return digest.digest()
