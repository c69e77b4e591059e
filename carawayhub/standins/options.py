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
        ranks_at: ``ip:port`` of the stand-in that runs the ranks of its group, empty for an engine
            of a single rank.
        ranks: Which ranks of the group it holds.
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
    ranks_at: str = ""
    ranks: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True, kw_only=True)
class RankOptions:
    """How the ranks of one lock-step group behave.

    Attributes:
        ranks: Ranks of the group.
        experts: Experts a layer.
        layers: Layers with experts.
        expert_bytes: Size of one expert's weights of one layer.
        store_rate: Bytes a second of the weight store.
        step_ms: Time of one step in milliseconds.
        checks_fencing: Whether ranks refuse orders of old terms.
        tokens_per_second: Tokens that each layer routes.
        drift: Deviation of the random step of a popularity's logarithm in one sample.
        sample_s: Seconds between two samples of the counters.
        counter_lag_s: Age at which counters can be read, in seconds.
        counter_loss: Part of the samples that are lost.
        seed: Seed of incarnations, popularity and loss.
    """

    ranks: int = 4
    experts: int = 8
    layers: int = 2
    expert_bytes: int = 1_000_000
    store_rate: float = 100_000_000.0
    step_ms: float = 6.0
    checks_fencing: bool = True
    tokens_per_second: float = 400_000.0
    drift: float = 0.002
    sample_s: float = 0.1
    counter_lag_s: float = 0.3
    counter_loss: float = 0.1
    seed: int = 0


@dataclass(slots=True, frozen=True, kw_only=True)
class ServiceOptions:
    """How a service behaves.

    Attributes:
        work_ms: Time that a call takes, in milliseconds.
    """

    work_ms: float = 5.0
