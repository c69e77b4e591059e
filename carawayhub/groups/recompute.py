"""Computes the placement of a layer from scratch: the baseline for local search."""

import heapq
from collections import Counter
from collections.abc import Sequence


def recomputed_row(shares: Sequence[float], *, ranks: int, slots: int) -> tuple[int, ...]:
    """Return a layer's placement computed without regard to the current one.

    Each expert gets one slot. Each further slot goes to the expert with the highest load per
    replica. The replicas are then assigned in descending order of load, each to the least loaded
    rank that has a free slot.

    Args:
        shares: Share of each expert.
        ranks: Number of ranks in the group.
        slots: Slots per rank.
    """
    replicas = _replica_counts(shares, total=ranks * slots, max_replicas=ranks)
    items = sorted(
        ((shares[e] / count, e) for e, count in enumerate(replicas) for _ in range(count)),
        reverse=True,
    )
    held: list[list[int]] = [[] for _ in range(ranks)]
    free_ranks = [(0.0, rank) for rank in range(ranks)]
    for load, expert in items:
        _assign_replica(load, expert, free_ranks, held, slots)
    for experts in held:
        experts.extend(experts[:1] * (slots - len(experts)))
    return tuple(expert for experts in held for expert in experts)


def matched_row(new: Sequence[int], old: Sequence[int], *, ranks: int) -> tuple[int, ...]:
    """Return ``new`` with its ranks renumbered so that fewer experts move from ``old``.

    Ranks are paired greedily by the number of experts in common.
    """
    slots = len(new) // ranks
    owners: dict[int, set[int]] = {}
    for at, expert in enumerate(old):
        owners.setdefault(expert, set()).add(at // slots)
    common: Counter[tuple[int, int]] = Counter()
    for group in range(ranks):
        for expert in set(new[group * slots : (group + 1) * slots]):
            common.update((rank, group) for rank in owners.get(expert, ()))
    chosen = _pair_ranks(sorted(common, key=lambda pair: (-common[pair], pair)))
    unpaired_groups = iter(sorted(set(range(ranks)) - set(chosen.values())))
    order = [chosen[rank] if rank in chosen else next(unpaired_groups) for rank in range(ranks)]
    return tuple(expert for group in order for expert in new[group * slots : (group + 1) * slots])


def _pair_ranks(pairs: Sequence[tuple[int, int]]) -> dict[int, int]:
    chosen: dict[int, int] = {}
    taken: set[int] = set()
    for rank, group in pairs:
        if rank not in chosen and group not in taken:
            chosen[rank] = group
            taken.add(group)
    return chosen


def _replica_counts(shares: Sequence[float], *, total: int, max_replicas: int) -> list[int]:
    counts = [1] * len(shares)
    heap = [(-share, expert) for expert, share in enumerate(shares)]
    heapq.heapify(heap)
    for _ in range(total - len(shares)):
        if not heap:
            break
        _, expert = heapq.heappop(heap)
        counts[expert] += 1
        if counts[expert] < max_replicas:
            heapq.heappush(heap, (-shares[expert] / counts[expert], expert))
    return counts


def _assign_replica(
    load: float,
    expert: int,
    free_ranks: list[tuple[float, int]],
    held: list[list[int]],
    slots: int,
) -> None:
    skipped_ranks: list[tuple[float, int]] = []
    while free_ranks:
        total, rank = heapq.heappop(free_ranks)
        if expert not in held[rank]:
            held[rank].append(expert)
            if len(held[rank]) < slots:
                heapq.heappush(free_ranks, (total + load, rank))
            break
        skipped_ranks.append((total, rank))
    for entry in skipped_ranks:
        heapq.heappush(free_ranks, entry)
