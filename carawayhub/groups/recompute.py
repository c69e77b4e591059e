"""A whole placement worked out from nothing: the measure for placements reached by small steps."""

import heapq
from collections import Counter
from collections.abc import Sequence


def recomputed_row(shares: Sequence[float], *, ranks: int, slots: int) -> tuple[int, ...]:
    """Return a layer's placement made without regard to any earlier one.

    Slots beyond one for each expert go, one by one, to the expert with the most load for each
    replica. Replicas are then dealt from the largest down, each to the least loaded rank with room.

    Args:
        shares: Share of each expert.
        ranks: Ranks of the group.
        slots: Slots of each rank.
    """
    replicas = _replica_counts(shares, total=ranks * slots, most=ranks)
    items = sorted(
        ((shares[e] / count, e) for e, count in enumerate(replicas) for _ in range(count)),
        reverse=True,
    )
    held: list[list[int]] = [[] for _ in range(ranks)]
    open_ranks = [(0.0, rank) for rank in range(ranks)]
    for load, expert in items:
        _deal(load, expert, open_ranks, held, slots)
    for experts in held:
        experts.extend(experts[:1] * (slots - len(experts)))
    return tuple(expert for experts in held for expert in experts)


def matched_row(new: Sequence[int], old: Sequence[int], *, ranks: int) -> tuple[int, ...]:
    """Return ``new`` with its ranks renamed so that fewer experts move from ``old``.

    Ranks are paired greedily by the number of experts they have in common.
    """
    slots = len(new) // ranks
    owners: dict[int, set[int]] = {}
    for at, expert in enumerate(old):
        owners.setdefault(expert, set()).add(at // slots)
    common: Counter[tuple[int, int]] = Counter()
    for group in range(ranks):
        for expert in set(new[group * slots : (group + 1) * slots]):
            common.update((rank, group) for rank in owners.get(expert, ()))
    chosen = _paired(sorted(common, key=lambda pair: (-common[pair], pair)))
    rest = iter(sorted(set(range(ranks)) - set(chosen.values())))
    order = [chosen[rank] if rank in chosen else next(rest) for rank in range(ranks)]
    return tuple(expert for group in order for expert in new[group * slots : (group + 1) * slots])


def _paired(pairs: Sequence[tuple[int, int]]) -> dict[int, int]:
    chosen: dict[int, int] = {}
    taken: set[int] = set()
    for rank, group in pairs:
        if rank not in chosen and group not in taken:
            chosen[rank] = group
            taken.add(group)
    return chosen


def _replica_counts(shares: Sequence[float], *, total: int, most: int) -> list[int]:
    counts = [1] * len(shares)
    heap = [(-share, expert) for expert, share in enumerate(shares)]
    heapq.heapify(heap)
    for _ in range(total - len(shares)):
        if not heap:
            break
        _, expert = heapq.heappop(heap)
        counts[expert] += 1
        if counts[expert] < most:
            heapq.heappush(heap, (-shares[expert] / counts[expert], expert))
    return counts


def _deal(
    load: float,
    expert: int,
    open_ranks: list[tuple[float, int]],
    held: list[list[int]],
    slots: int,
) -> None:
    passed: list[tuple[float, int]] = []
    while open_ranks:
        total, rank = heapq.heappop(open_ranks)
        if expert not in held[rank]:
            held[rank].append(expert)
            if len(held[rank]) < slots:
                heapq.heappush(open_ranks, (total + load, rank))
            break
        passed.append((total, rank))
    for entry in passed:
        heapq.heappush(open_ranks, entry)
