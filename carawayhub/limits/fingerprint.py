"""Names a request by what it asks, whatever attempt of its caller it is.

Callers give each attempt an id of its own. A request that comes again after a failure is so a new
one to every entry; the fingerprint is what both have in common.
"""

import hashlib

FINGERPRINT_BYTES = 12
"""Length of a fingerprint: of a billion requests two share one with a chance of 1 in 10^11."""


def fingerprint(caller: str, method: str, host: str, target: bytes, body: bytes) -> bytes:
    """Return the name of what a request asks.

    Headers do not count: ids, deadlines and the event after which a stream goes on differ between
    attempts.

    Args:
        caller: Organisation that sends it, empty where none is known.
        method: HTTP method.
        host: Host that it asks for, in any case.
        target: Path and query as they were sent.
        body: Whole body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (caller, method, host.lower()):
        digest.update(part.encode() + b"\0")
    digest.update(target + b"\0")
    digest.update(body)
    return digest.digest()
