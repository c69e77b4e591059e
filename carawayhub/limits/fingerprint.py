"""Identifies a request by its content, independent of the caller's attempt.

Callers give each attempt its own id, so a retry after a failure looks like a new request to every
entry; all attempts have the same fingerprint.
"""

import hashlib

FINGERPRINT_BYTES = 12
"""Length of a fingerprint: two of a billion requests collide with a probability of 1 in 10^11."""


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
