"""Names a request by what it asks, whatever attempt of its caller it is.

Callers give each attempt an id of its own. A request that comes again after a failure is so a new
one to every entry; the fingerprint is what both have in common.
"""

import hashlib

from carawayhub.gateway.calls import CallerRequest
from carawayhub.gateway.model import Organisation

FINGERPRINT_BYTES = 12
"""Length of a fingerprint: of a billion requests two share one with a chance of 1 in 10^11."""


def fingerprint(req: CallerRequest, organisation: Organisation | None) -> bytes:
    """Return the name of what a request asks: its caller, method, host, target and body.

    Headers do not count: ids, deadlines and the event after which a stream goes on differ between
    attempts.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    caller = organisation.name if organisation is not None else ""
    for part in (caller, req.method, req.host.lower()):
        digest.update(part.encode() + b"\0")
    digest.update(req.target + b"\0")
    digest.update(req.body)
    return digest.digest()
