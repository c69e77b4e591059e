"""What can be made to go wrong at each stand-in while it runs."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class PlatformFault:
    """What is wrong with the platform at present; the defaults say nothing is.

    Attributes:
        down: Whether connections are closed without an answer.
        silent: Whether nothing is answered any more, waiting watches included.
        stale_version: Version that is served in place of the newest, None for the newest.
        slow_s: Seconds that each answer takes longer.
    """

    down: bool = False
    silent: bool = False
    stale_version: int | None = None
    slow_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class EngineFault:
    """What is wrong with an engine at present; the defaults say nothing is.

    Attributes:
        stall_s: Seconds from now in which no step is made.
        slow_factor: Times by which a step takes longer.
        cut_after: Tokens after which a stream's connection is closed, None for never.
        cut_count: Streams that are cut.
        end_after: Tokens after which a stream ends in good order but without its end mark, None for
            never.
        error_count: Requests answered with status 500 before they run.
        silent: Whether nothing is answered any more, on open and new connections.
    """

    stall_s: float = 0.0
    slow_factor: float = 1.0
    cut_after: int | None = None
    cut_count: int = 1
    end_after: int | None = None
    error_count: int = 0
    silent: bool = False


@dataclass(slots=True, kw_only=True)
class RankFault:
    """What is wrong with one rank at present; the defaults say nothing is.

    Orders are named as in their path, for example ``commit``.

    Attributes:
        stalled: Whether it enters no step.
        cut: Whether all orders to it are lost.
        lose: Kinds of order of which the next one is lost.
        lose_reply: Kinds of order of which the next one is obeyed and its reply lost.
        hold: Kinds of order that are held back until they are told to be delivered.
        checks_fencing: Whether it refuses orders of old terms; None for as it was started.
    """

    stalled: bool = False
    cut: bool = False
    lose: tuple[str, ...] = ()
    lose_reply: tuple[str, ...] = ()
    hold: tuple[str, ...] = ()
    checks_fencing: bool | None = None


@dataclass(slots=True, kw_only=True)
class ServiceFault:
    """What is wrong with a service at present; the defaults say nothing is.

    Attributes:
        lose_reply_count: Calls that are run and whose connection is then closed.
        delay_s: Seconds that an answer waits after the call was run.
        slow_factor: Times by which the work takes longer.
        error_count: Calls answered with status 500 before they run.
        silent: Whether nothing is answered any more, on open and new connections.
    """

    lose_reply_count: int = 0
    delay_s: float = 0.0
    slow_factor: float = 1.0
    error_count: int = 0
    silent: bool = False


@dataclass(slots=True, kw_only=True)
class LinkFault:
    """What is wrong with a link of the proxy at present; the defaults say nothing is.

    Attributes:
        delay_ms: Time that each piece of data takes longer, in milliseconds.
        jitter_ms: Most that chance adds to the delay; the order of the pieces is kept.
        bytes_per_second: Rate of each direction of a connection, 0 for no bound.
        refuse: Whether new connections are refused.
        silent_to_target: Whether nothing passes towards the target.
        silent_to_client: Whether nothing passes towards the client.
        cut_after: Bytes towards the client after which a connection is reset, None for never.
        cut_count: Connections that are reset so.
        duplicate_count: Pieces of answers that are delivered twice.
        cross_count: Pairs of pieces of answers that two connections get from each other.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_second: float = 0.0
    refuse: bool = False
    silent_to_target: bool = False
    silent_to_client: bool = False
    cut_after: int | None = None
    cut_count: int = 1
    duplicate_count: int = 0
    cross_count: int = 0
