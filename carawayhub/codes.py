"""Numbered result codes: what happened to a request, an order, a configuration or a command.

The number is the contract with callers and operators; the name is for the code. The thousands tell
the subject: 1 configuration, 2 a caller's request that was refused, 3 a request that met a failure,
4 calls between the system's own processes, 5 orders and lock-step groups, 6 command line.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Outcome(Enum):
    """The three answer classes of a request, and none for codes that concern no request."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NONE = "none"


class Code(IntEnum):
    """The number of a result."""

    OK = 0

    CONFIG_SYNTAX = 1001
    CONFIG_UNKNOWN_KEY = 1002
    CONFIG_WRONG_TYPE = 1003
    CONFIG_DANGLING_REFERENCE = 1004
    CONFIG_SHARES_DO_NOT_ADD_UP = 1005
    CONFIG_DUPLICATE_KEY = 1006
    CONFIG_MISSING_KEY = 1007
    CONFIG_VALUE_OUT_OF_RANGE = 1008
    CONFIG_NO_FILES = 1009
    CONFIG_FILE_UNREADABLE = 1010
    CONFIG_DUPLICATE_ADDRESS = 1011
    CONFIG_FILE_TOO_LARGE = 1012
    CONFIG_DUPLICATE_CREDENTIAL = 1013
    CONFIG_ENDPOINT_USED_TWICE = 1014
    CONFIG_DUPLICATE_ROUTE = 1015
    CONFIG_OLDER_VERSION = 1020
    CONFIG_VERSION_CONFLICT = 1021
    CONFIG_DIGEST_MISMATCH = 1022

    KEY_MISSING = 2001
    KEY_UNKNOWN = 2002
    NOT_SERVED = 2003
    NOT_ALLOWED = 2004
    BODY_TOO_LARGE = 2005
    BODY_MALFORMED = 2006
    HTTP_VERSION = 2007
    DEADLINE_MALFORMED = 2008
    TICKET_MALFORMED = 2009
    RUN_ONCE_NEEDS_KEY = 2010
    RATE_EXCEEDED = 2020
    CONCURRENCY_EXCEEDED = 2021
    OVERLOADED = 2022
    DEADLINE_PASSED = 2023
    DEADLINE_UNREACHABLE = 2024
    NO_ENDPOINT = 2025
    ENDPOINT_LEAVING = 2026
    ENTRY_STOPPING = 2027
    NOT_READY = 2028
    RETRY_BUDGET_SPENT = 2029
    CONNECT_FAILED = 2030
    PAUSED = 2031
    VIEW_TOO_OLD = 2032
    ENDPOINT_REFUSED = 2033
    POISON_REQUEST = 2034
    REGIONS_CONTRADICT = 2035
    REGION_WITHOUT_ENDPOINT = 2036
    HEAD_TOO_LARGE = 2037
    HEAD_LATE = 2038
    REQUEST_MALFORMED = 2039
    BODY_LATE = 2040
    REQUEST_MEMORY_FULL = 2041
    WEIGHTS_DIFFER = 2042

    ANSWER_CUT = 3001
    ANSWER_TIMEOUT = 3002
    ENDPOINT_ERROR = 3003
    ANSWER_MIXED = 3004
    ANSWER_STALLED = 3005
    CALLER_LEFT = 3006
    ENTRY_FAILED = 3007
    ANSWER_TOO_LARGE = 3008
    RUN_INCARNATION_GONE = 3010
    RUN_STILL_RUNNING = 3011
    RUN_EXPIRED = 3012
    RUN_HOME_UNREACHABLE = 3013
    RUN_REPLY_LOST = 3014
    RUN_QUARANTINE = 3015
    RUN_BODY_DIFFERS = 3016
    RUN_ANSWER_NOT_KEPT = 3017

    PEER_UNAUTHENTICATED = 4001
    PEER_SILENT = 4002
    PEER_ID_MISMATCH = 4003
    PEER_PROTOCOL = 4004
    PLATFORM_UNREACHABLE = 4010
    PLATFORM_MALFORMED = 4011

    MAP_INVALID = 5001
    ORDER_FENCED = 5002
    ORDER_REFUSED = 5003
    RANK_UNREACHABLE = 5004
    RANK_MALFORMED = 5005
    CHANGE_ABORTED = 5010
    CHANGE_OVERTAKEN = 5011
    STAGING_FAILED = 5012
    STORE_BUSY = 5013
    LEASE_LAPSED = 5014
    GROUP_BROKEN = 5020

    USAGE = 6001
    PORT_IN_USE = 6002
    INTERRUPTED = 6003
    TARGET_UNREACHABLE = 6004
    SETTINGS_INVALID = 6005


@dataclass(frozen=True, slots=True)
class Meaning:
    """What a code says.

    Attributes:
        outcome: The answer class a caller may rely on.
        status: HTTP status that carries the code to a caller, 0 where none does.
        text: What happened.
        action: What to do next.
    """

    outcome: Outcome
    status: int
    text: str
    action: str


def meaning(code: Code) -> Meaning:
    """Return what ``code`` says; every code has an entry, which a test checks."""
    return MEANINGS[code]


_NONE, _NOT_RUN, _UNKNOWN = Outcome.NONE, Outcome.NOT_RUN, Outcome.UNKNOWN

MEANINGS: dict[Code, Meaning] = {
    Code.OK: Meaning(Outcome.COMPLETED, 200, "completed", "nothing to do"),
    Code.CONFIG_SYNTAX: Meaning(
        _NONE, 0, "the file is not JSON with comments", "mend the file at the line named"
    ),
    Code.CONFIG_UNKNOWN_KEY: Meaning(
        _NONE, 0, "a key is not known", "correct its spelling or remove it"
    ),
    Code.CONFIG_WRONG_TYPE: Meaning(
        _NONE, 0, "a value has the wrong type", "write the type that is named"
    ),
    Code.CONFIG_DANGLING_REFERENCE: Meaning(
        _NONE, 0, "a name refers to nothing", "declare it or correct the name"
    ),
    Code.CONFIG_SHARES_DO_NOT_ADD_UP: Meaning(
        _NONE, 0, "the shares of a model do not add up to 100", "make the shares add up to 100"
    ),
    Code.CONFIG_DUPLICATE_KEY: Meaning(
        _NONE, 0, "a key stands twice in one object", "remove one of the two"
    ),
    Code.CONFIG_MISSING_KEY: Meaning(_NONE, 0, "a required key is missing", "add the key"),
    Code.CONFIG_VALUE_OUT_OF_RANGE: Meaning(
        _NONE, 0, "a value is out of its range", "choose a value within the range named"
    ),
    Code.CONFIG_NO_FILES: Meaning(
        _NONE, 0, "the folder holds no configuration file", "name a folder with *.json files"
    ),
    Code.CONFIG_FILE_UNREADABLE: Meaning(
        _NONE, 0, "a file cannot be read", "check that it exists, its rights and its encoding"
    ),
    Code.CONFIG_DUPLICATE_ADDRESS: Meaning(
        _NONE, 0, "two endpoints have one address", "give each endpoint an address of its own"
    ),
    Code.CONFIG_FILE_TOO_LARGE: Meaning(
        _NONE, 0, "a file is larger than the platform can hold", "split it into several files"
    ),
    Code.CONFIG_DUPLICATE_CREDENTIAL: Meaning(
        _NONE, 0, "two organisations have one key", "give each organisation keys of its own"
    ),
    Code.CONFIG_ENDPOINT_USED_TWICE: Meaning(
        _NONE, 0, "an endpoint of a group is used elsewhere too", "name it in that group only"
    ),
    Code.CONFIG_DUPLICATE_ROUTE: Meaning(
        _NONE, 0, "two services have one route", "give each method and path to one service"
    ),
    Code.CONFIG_OLDER_VERSION: Meaning(
        _NONE, 0, "an older configuration was offered", "nothing: the newer one stays in force"
    ),
    Code.CONFIG_VERSION_CONFLICT: Meaning(
        _NONE,
        0,
        "one version number was published with two contents",
        "publish the wanted content under a higher version",
    ),
    Code.CONFIG_DIGEST_MISMATCH: Meaning(
        _NONE, 0, "content does not match its digest", "nothing: it is fetched again"
    ),
    Code.KEY_MISSING: Meaning(
        _NOT_RUN, 401, "the request carries no key", "send 'authorization: Bearer KEY'"
    ),
    Code.KEY_UNKNOWN: Meaning(
        _NOT_RUN, 401, "no organisation has this key", "check the key with the operators"
    ),
    Code.NOT_SERVED: Meaning(
        _NOT_RUN, 404, "no model or service answers to this name or path", "check the name"
    ),
    Code.NOT_ALLOWED: Meaning(
        _NOT_RUN, 403, "the organisation may not use this", "ask the operators for access"
    ),
    Code.BODY_TOO_LARGE: Meaning(
        _NOT_RUN, 413, "the body is larger than the limit", "send a smaller body"
    ),
    Code.BODY_MALFORMED: Meaning(
        _NOT_RUN, 400, "the body cannot be read", "send JSON with the fields that are named"
    ),
    Code.HTTP_VERSION: Meaning(_NOT_RUN, 505, "HTTP/1.0 cannot show a cut answer", "use HTTP/1.1"),
    Code.DEADLINE_MALFORMED: Meaning(
        _NOT_RUN, 400, "the deadline header cannot be read", "send milliseconds from now"
    ),
    Code.TICKET_MALFORMED: Meaning(
        _NOT_RUN, 400, "the ticket cannot be read or was not issued here", "ask for a new ticket"
    ),
    Code.RUN_ONCE_NEEDS_KEY: Meaning(
        _NOT_RUN,
        428,
        "a call that may not be repeated needs a ticket or an idempotency key",
        "send 'idempotency-key' or ask for a ticket at /v1/tickets",
    ),
    Code.RATE_EXCEEDED: Meaning(
        _NOT_RUN, 429, "the organisation's rate is spent", "come back after 'retry-after'"
    ),
    Code.CONCURRENCY_EXCEEDED: Meaning(
        _NOT_RUN,
        429,
        "the organisation has too many requests in flight",
        "come back after 'retry-after'",
    ),
    Code.OVERLOADED: Meaning(
        _NOT_RUN, 503, "the system is overloaded", "come back after 'retry-after'"
    ),
    Code.DEADLINE_PASSED: Meaning(
        _NOT_RUN, 504, "the deadline passed before the request was begun", "allow more time"
    ),
    Code.DEADLINE_UNREACHABLE: Meaning(
        _NOT_RUN,
        503,
        "the deadline cannot be met at the present load",
        "allow more time or come back after 'retry-after'",
    ),
    Code.NO_ENDPOINT: Meaning(
        _NOT_RUN, 503, "no endpoint can take the request now", "come back after 'retry-after'"
    ),
    Code.ENDPOINT_LEAVING: Meaning(
        _NOT_RUN, 503, "the endpoint is leaving and takes no new work", "try again"
    ),
    Code.ENTRY_STOPPING: Meaning(
        _NOT_RUN, 503, "this entry is stopping", "use the next address of the kept answer"
    ),
    Code.NOT_READY: Meaning(
        _NOT_RUN, 503, "this entry has no configuration yet", "use another address"
    ),
    Code.RETRY_BUDGET_SPENT: Meaning(
        _NOT_RUN, 503, "the organisation's retry budget is spent", "come back after 'retry-after'"
    ),
    Code.CONNECT_FAILED: Meaning(
        _NOT_RUN, 503, "no connection to an endpoint could be opened", "try again"
    ),
    Code.PAUSED: Meaning(
        _NOT_RUN,
        503,
        "the process was paused and checks what it knows",
        "try again or use another address",
    ),
    Code.VIEW_TOO_OLD: Meaning(
        _NOT_RUN,
        503,
        "the entry cannot prove that the key is still valid",
        "come back after 'retry-after' or use another address",
    ),
    Code.ENDPOINT_REFUSED: Meaning(
        _NOT_RUN,
        503,
        "the endpoint refused the request and did not run it",
        "come back after 'retry-after'",
    ),
    Code.POISON_REQUEST: Meaning(
        _NOT_RUN,
        400,
        "endpoints ended each time they ran this request or others with a part of it",
        "change the request; it is refused until nobody has sent it for an hour, a part for 10 min",
    ),
    Code.REGIONS_CONTRADICT: Meaning(
        _NOT_RUN,
        403,
        "no region is allowed both for the route and for the organisation",
        "ask the operators to change the allowed regions",
    ),
    Code.REGION_WITHOUT_ENDPOINT: Meaning(
        _NOT_RUN,
        503,
        "no endpoint is in the regions in which the request may run",
        "come back after 'retry-after'",
    ),
    Code.HEAD_TOO_LARGE: Meaning(
        _NOT_RUN, 431, "the head or the trailers are larger than the limit", "send fewer headers"
    ),
    Code.HEAD_LATE: Meaning(
        _NOT_RUN, 400, "the head of the request did not come in time", "send the head at once"
    ),
    Code.REQUEST_MALFORMED: Meaning(
        _NOT_RUN, 400, "the request is no valid HTTP/1.1", "send a request that follows RFC 9112"
    ),
    Code.BODY_LATE: Meaning(
        _NOT_RUN, 408, "no more of the body came for the idle time", "send the body without pauses"
    ),
    Code.REQUEST_MEMORY_FULL: Meaning(
        _NOT_RUN,
        503,
        "the process has no memory left for requests that are being received",
        "come back after 'retry-after'",
    ),
    Code.WEIGHTS_DIFFER: Meaning(
        _NOT_RUN,
        503,
        "the endpoints that were asked have another version of the weights",
        "come back after 'retry-after', or ask for a version that is served",
    ),
    Code.ANSWER_CUT: Meaning(
        _UNKNOWN, 502, "the answer broke off before its end", "repeat it if it may be repeated"
    ),
    Code.ANSWER_TIMEOUT: Meaning(
        _UNKNOWN,
        504,
        "the deadline passed while the request was running",
        "repeat it if it may be repeated",
    ),
    Code.ENDPOINT_ERROR: Meaning(
        _UNKNOWN, 502, "the endpoint answered with an error", "read the error in the body"
    ),
    Code.ANSWER_MIXED: Meaning(
        _UNKNOWN,
        502,
        "the endpoint's answer belongs to another request",
        "repeat it if it may be repeated",
    ),
    Code.ANSWER_STALLED: Meaning(
        _UNKNOWN, 502, "the answer stopped before its end", "repeat it if it may be repeated"
    ),
    Code.CALLER_LEFT: Meaning(
        _UNKNOWN, 499, "the caller left before the end", "nothing: the work was cancelled"
    ),
    Code.ENTRY_FAILED: Meaning(
        _UNKNOWN,
        500,
        "the entry met a fault of its own",
        "repeat it if it may be repeated; operators find the fault in the log",
    ),
    Code.ANSWER_TOO_LARGE: Meaning(
        _UNKNOWN,
        502,
        "the endpoint's answer is larger than is accepted",
        "repeat it if it may be repeated",
    ),
    Code.RUN_INCARNATION_GONE: Meaning(
        _UNKNOWN,
        409,
        "the agent that could have run this has ended",
        "look for the effect before sending a new request",
    ),
    Code.RUN_STILL_RUNNING: Meaning(
        _UNKNOWN, 409, "the request is still running", "ask again with the same key"
    ),
    Code.RUN_EXPIRED: Meaning(
        _UNKNOWN, 409, "the ticket or key has expired", "look for the effect before a new request"
    ),
    Code.RUN_HOME_UNREACHABLE: Meaning(
        _UNKNOWN,
        503,
        "the agent that keeps this key cannot be reached",
        "ask again with the same key after 'retry-after'",
    ),
    Code.RUN_REPLY_LOST: Meaning(
        _UNKNOWN,
        502,
        "the reply of the agent was lost",
        "ask again with the same ticket or key",
    ),
    Code.RUN_QUARANTINE: Meaning(
        _UNKNOWN,
        503,
        "the key may have been run by an agent whose memory is lost",
        "ask again with the same key after 'retry-after', or look for the effect",
    ),
    Code.RUN_BODY_DIFFERS: Meaning(
        _NOT_RUN, 422, "the key was used before with another request", "use a new key"
    ),
    Code.RUN_ANSWER_NOT_KEPT: Meaning(
        Outcome.COMPLETED,
        410,
        "the request ran to its end and its answer was not kept",
        "look for the effect; do not send it again",
    ),
    Code.PEER_UNAUTHENTICATED: Meaning(
        _NONE, 0, "a call between processes carries no valid proof", "give all one system key"
    ),
    Code.PEER_SILENT: Meaning(_NONE, 0, "a link went silent", "nothing: it is replaced"),
    Code.PEER_ID_MISMATCH: Meaning(
        _NONE, 0, "an answer carries another request's id", "nothing: the link is closed"
    ),
    Code.PEER_PROTOCOL: Meaning(_NONE, 0, "a message cannot be read", "run one release"),
    Code.PLATFORM_UNREACHABLE: Meaning(
        _NONE, 0, "the configuration service does not answer", "check the service"
    ),
    Code.PLATFORM_MALFORMED: Meaning(
        _NONE, 0, "the configuration service gave what cannot be read", "check the service"
    ),
    Code.MAP_INVALID: Meaning(
        _NONE, 0, "an expert map does not fit its group", "nothing: the map in force stays"
    ),
    Code.ORDER_FENCED: Meaning(
        _NONE, 0, "a rank has promised to a later decider", "nothing: the later one goes on"
    ),
    Code.ORDER_REFUSED: Meaning(
        _NONE, 0, "a rank refused an order", "nothing: the rank is read again"
    ),
    Code.RANK_UNREACHABLE: Meaning(
        _NONE, 0, "a rank does not answer", "check the rank's engine and its network"
    ),
    Code.RANK_MALFORMED: Meaning(
        _NONE, 0, "a rank's answer cannot be read", "check the release of the engine"
    ),
    Code.CHANGE_ABORTED: Meaning(
        _NONE, 0, "a change of the expert map was aborted", "nothing: the old map stays"
    ),
    Code.CHANGE_OVERTAKEN: Meaning(
        _NONE, 0, "another decider took the group over", "nothing: it goes on by itself"
    ),
    Code.STAGING_FAILED: Meaning(
        _NONE, 0, "a rank could not stage its weights", "check the weight store and the rank"
    ),
    Code.STORE_BUSY: Meaning(
        _NONE, 0, "the weight store is at its rate", "nothing: it is asked again later"
    ),
    Code.LEASE_LAPSED: Meaning(
        _NONE,
        0,
        "too few witnesses confirm that this agent decides for the group",
        "look for the witnesses that the log of the agent names",
    ),
    Code.GROUP_BROKEN: Meaning(
        _NOT_RUN,
        503,
        "the ranks of the group are not in one formation",
        "come back after 'retry-after'",
    ),
    Code.USAGE: Meaning(_NONE, 0, "the command's words are off", "read its --help"),
    Code.PORT_IN_USE: Meaning(
        _NONE, 0, "the address is in use", "choose another port or end the process that has it"
    ),
    Code.INTERRUPTED: Meaning(_NONE, 0, "interrupted", "run the command again"),
    Code.TARGET_UNREACHABLE: Meaning(
        _NONE, 0, "the process asked does not answer", "check its operators' address"
    ),
    Code.SETTINGS_INVALID: Meaning(
        _NONE, 0, "the settings of the process cannot be used", "mend the settings file"
    ),
}
