"""The faults of a trace. ``at`` is when one begins and ``for_s`` how many seconds it lasts."""

from carawayhub.replay.parts import KindPart


class Pause(KindPart, tag="pause"):
    """An entry or agent is frozen for a while and wakes with what it knew."""

    at: float
    target: str
    for_s: float


class Stop(KindPart, tag="stop"):
    """An entry or agent is asked to stop in order."""

    at: float
    target: str


class Kill(KindPart, tag="kill"):
    """An entry or agent ends with no time for anything."""

    at: float
    target: str


class Restart(KindPart, tag="restart"):
    """An entry or agent is killed and starts anew with no memory."""

    at: float
    target: str


class KillVm(KindPart, tag="kill_vm"):
    """An endpoint and its agent end at once."""

    at: float
    target: str


class PlatformTrouble(KindPart, tag="platform"):
    """The configuration service is down, silent, slow, or serves an old version."""

    at: float
    for_s: float
    down: bool = False
    silent: bool = False
    stale_version: int | None = None
    slow_s: float = 0.0


class Partition(KindPart, tag="partition"):
    """Two sets of failure domains cannot reach each other; both sides keep running."""

    at: float
    for_s: float
    left: tuple[str, ...]
    right: tuple[str, ...]


class SilenceConnections(KindPart, tag="silence_connections"):
    """The open connections of a link go silent for good; new ones work.

    Attributes:
        link: Name of an endpoint or entry, or one of them with ``.peer``.
        source: Node whose connections are meant, empty for all.
    """

    at: float
    link: str
    source: str = ""


class LinkTrouble(KindPart, tag="link"):
    """A link delays, refuses, cuts, repeats or crosses what passes; see ``LinkFault``."""

    at: float
    for_s: float
    link: str
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    refuse: bool = False
    cut_after: int | None = None
    cut_count: int = 1
    duplicate_count: int = 0
    cross_count: int = 0


class EngineTrouble(KindPart, tag="engine"):
    """A model engine stalls, is slow, cuts streams or says nothing; see ``EngineFault``."""

    at: float
    for_s: float
    target: str
    stall_s: float = 0.0
    slow_factor: float = 1.0
    cut_after: int | None = None
    cut_count: int = 1
    error_count: int = 0
    silent: bool = False


class ServiceTrouble(KindPart, tag="service"):
    """A plain service loses replies, is slow or says nothing; see ``ServiceFault``."""

    at: float
    for_s: float
    target: str
    lose_reply_count: int = 0
    delay_s: float = 0.0
    slow_factor: float = 1.0
    error_count: int = 0
    silent: bool = False


Fault = (
    Pause
    | Stop
    | Kill
    | Restart
    | KillVm
    | PlatformTrouble
    | Partition
    | SilenceConnections
    | LinkTrouble
    | EngineTrouble
    | ServiceTrouble
)
