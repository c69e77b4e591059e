"""Names and bounds of the interface towards callers."""

REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-deadline-ms"
KEY_HEADER = b"idempotency-key"
TICKET_HEADER = b"carawayhub-ticket"
CODE_HEADER = b"x-carawayhub-code"
RESUME_HEADER = b"resume-offset"
PRIORITY_HEADER = b"x-priority"

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_KEY_LENGTH = 200
MAX_DEADLINE_SECONDS = 3600.0
JSON_TYPE = b"application/json"
STREAM_TYPE = b"text/event-stream"

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
    }
)
"""Headers of one connection only (RFC 9110, section 7.6.1); they are never passed on."""
