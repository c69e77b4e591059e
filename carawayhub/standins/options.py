"""How each stand-in behaves, fixed at its start."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, kw_only=True)
class PlatformOptions:
    """How the platform behaves.

    Attributes:
        vm_lag_s: Seconds until a change of the list of VMs can be read.
        reads_per_second: Reads above which it answers 429, 0 for no bound.
        weights_per_second: Weights that the store gives out a second.
        weights_burst: Weights that it gives out at once.
    """

    vm_lag_s: float = 0.0
    reads_per_second: int = 0
    weights_per_second: float = 50.0
    weights_burst: float = 10.0


@dataclass(slots=True, frozen=True, kw_only=True)
class EngineOptions:
    """How an engine behaves.

    Attributes:
        capacity: Requests that run at once.
        step_ms: Time of one step in milliseconds.
        prefill_blocks: Prompt blocks that are not cached which one step takes in.
        cache_blocks: Prompt blocks that the prefix cache holds.
        cache_lag_s: Seconds until a cache event can be read.
        cache_loss: Part of the cache events that are lost.
        load_lag_s: Age of the load that is reported, in seconds.
        resumes: Whether a stream can be resumed at an offset.
        checks_giver: Name of the only giver of orders it obeys, empty to obey all.
        checks_fencing: Whether it refuses an order with an old fencing number.
        seed: Seed of the event loss.
    """

    capacity: int = 64
    step_ms: float = 6.0
    prefill_blocks: int = 128
    cache_blocks: int = 4096
    cache_lag_s: float = 0.2
    cache_loss: float = 0.0
    load_lag_s: float = 0.2
    resumes: bool = False
    checks_giver: str = ""
    checks_fencing: bool = False
    seed: int = 0


@dataclass(slots=True, frozen=True, kw_only=True)
class ServiceOptions:
    """How a service behaves.

    Attributes:
        work_ms: Time that a call takes, in milliseconds.
    """

    work_ms: float = 5.0
