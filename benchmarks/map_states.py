"""Exhaustive search over the change of a map: every interleaving for a small group.

It runs the product's own rules (``groups.change`` for deciders, ``standins.rank_rules`` for ranks).
A first decider changes the map and may stop acting at any moment and go on at any later one; a
second starts at any moment, takes over what it finds, and proposes a change of its own where it
finds none. An order once sent stays on its way for ever: it may reach its rank at any later time,
any number of times, or never, so loss, delay, repetition and reordering are all covered. A reply
is learned at once or lost. Learning it late would add no behaviour: all that a decider may send
before it learns is on its way already, and to act late on what was learned early is covered.
Orders that can no longer change their rank, whatever else reaches it, are forgotten unless their
decider would send them again now: a rank's reply says the same whatever it is a reply to.

Checked: no step is entered under two maps; and from each state there is a path, without the first
decider, to all ranks having passed the last step under one map with nothing armed.

``python -m benchmarks.map_search`` runs it.
"""

import time
from collections.abc import Iterator
from dataclasses import replace
from functools import cache

from benchmarks.map_model import (
    CHANGES,
    FIRST_CHANGE,
    FIRST_TERM,
    NO_CHANGE,
    OLD,
    SECOND_TERM,
    Column,
    Found,
    Node,
    Setup,
)
from carawayhub.groups.change import ChangeProgress, Vote
from carawayhub.groups.maps import MapId
from carawayhub.groups.orders import (
    Abort,
    Arm,
    Commit,
    Formation,
    Order,
    RankState,
    Read,
    Withdraw,
)
from carawayhub.standins.rank_rules import enter_step

Move = tuple[Node, bool]


class Search:
    """The reachable states of one setup; each rule of the product runs once for each input."""

    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._states: list[RankState] = []
        self._state_numbers: dict[RankState, int] = {}
        self._orders: list[Order] = []
        self._order_numbers: dict[Order, int] = {}
        self._step = cache(self._step_of)
        self._answer = cache(self._answer_of)
        self._wanted = cache(self._wanted_of)
        self._settled = cache(self._settled_of)
        self._bits = cache(_bits_of)
        self._live = cache(self._live_of)
        for order in _all_orders():
            self._order_number(order)
        self._read = 1 << self._order_number(Read(term=SECOND_TERM))

    def run(self) -> Found:
        """Visit every state; one with two maps is counted and not followed further."""
        began = time.process_time()
        start = self._start()
        numbers = {start: 0}
        nodes = [start]
        before: list[list[int]] = [[]]
        edges = two_maps = 0
        for at, node in enumerate(nodes):
            if self._has_two_maps(node):
                two_maps += 1
                if self._setup.stops_at_fault:
                    break
                continue
            for moved, by_first in self._moves(node):
                after = self._normal(moved)
                number = numbers.setdefault(after, len(nodes))
                if number == len(nodes):
                    nodes.append(after)
                    before.append([])
                edges += 1
                if not by_first:
                    before[number].append(at)
        rest = [number for number, node in enumerate(nodes) if self._at_rest(node)]
        old = sum(self._states[nodes[number].columns[0].state].map == OLD for number in rest)
        return Found(
            states=len(nodes),
            edges=edges,
            two_maps=two_maps,
            stuck=len(nodes) - two_maps - _count_leading_to(before, rest),
            committed=len(rest) - old,
            aborted=old,
            seconds=round(time.process_time() - began, 1),
        )

    def _start(self) -> Node:
        formation = Formation(id="f", version=1, members=(0,) * self._setup.ranks, first_map=OLD)
        state = self._number(RankState(rank=0, incarnation=0, formation=formation, map=OLD))
        column = Column(state, 0, Vote.OPEN, Vote.UNREAD, -1)
        return self._normal(Node((column,) * self._setup.ranks))

    def _moves(self, node: Node) -> Iterator[Move]:
        """Yield the states after ``node``; True marks what takes the first decider's doing."""
        yield from self._steps(node)
        if not node.first_withdraws:
            yield node._replace(first_withdraws=True), True
        yield from self._second_moves(node)
        for at, column in enumerate(node.columns):
            for order in self._bits(column.sent):
                yield from self._deliveries(node, at, order)

    def _steps(self, node: Node) -> Iterator[Move]:
        """Let each rank enter its next step where all have entered the one it is in."""
        lowest = min(self._states[column.state].entered for column in node.columns)
        if lowest == self._setup.last_step:
            return
        for at, column in enumerate(node.columns):
            if self._states[column.state].entered > lowest:
                continue
            after = self._step(column.state)
            if after >= 0:
                yield _with(node, at, column._replace(state=after)), False

    def _second_moves(self, node: Node) -> Iterator[Move]:
        if node.change != NO_CHANGE:
            votes = tuple(column.second for column in node.columns)
            if self._settled(False, node.change, node.second_withdraws, votes):
                yield self._reading(node), False
            elif not node.second_withdraws:
                yield node._replace(second_withdraws=True), False
            return
        if not node.reading:
            yield self._reading(node), False
            return
        if any(column.read < 0 for column in node.columns):
            return
        yield self._decided(node), False

    def _decided(self, node: Node) -> Node:
        """Return the state after the second decider has read all ranks."""
        states = {
            rank: replace(self._states[column.read], rank=rank)
            for rank, column in enumerate(node.columns)
        }
        left = self._setup.take_over(SECOND_TERM, states)
        if left is not None:
            change, votes = CHANGES.index(left.change), left.votes
            return self._handling(node, change, votes, left.withdrawing)
        step = max(state.entered for state in states.values()) + 1
        same = all(state.map == OLD for state in states.values())
        if node.proposed or not self._setup.proposes or not same or step > self._setup.last_step:
            return self._reading(node)
        votes = (Vote.OPEN,) * len(states)
        return self._handling(node._replace(proposed=True), step, votes, False)

    def _handling(self, node: Node, change: int, votes: tuple[Vote, ...], withdraws: bool) -> Node:
        columns = tuple(
            column._replace(second=cast, read=-1)
            for column, cast in zip(node.columns, votes, strict=True)
        )
        return node._replace(
            columns=columns, change=change, second_withdraws=withdraws, reading=False
        )

    def _reading(self, node: Node) -> Node:
        columns = tuple(column._replace(second=Vote.UNREAD, read=-1) for column in node.columns)
        return node._replace(
            columns=columns, change=NO_CHANGE, second_withdraws=False, reading=True
        )

    def _deliveries(self, node: Node, at: int, order: int) -> Iterator[Move]:
        """Deliver one order: the reply is lost, or learned by the decider that gave it."""
        column = node.columns[at]
        after, first, second = self._answer(column.state, order, node.change)
        lost = column._replace(state=after)
        if lost != column:
            yield _with(node, at, lost), False
        if self._orders[order].term == FIRST_TERM:
            if first != column.first:
                yield _with(node, at, lost._replace(first=first)), True
        elif node.change != NO_CHANGE:
            if second != column.second:
                yield _with(node, at, lost._replace(second=second)), False
        elif node.reading and column.read < 0:
            yield _with(node, at, lost._replace(read=after)), False

    def _normal(self, node: Node) -> Node:
        """Send what the deciders now want to send, forget dead orders, and sort the ranks."""
        columns = node.columns
        votes = tuple(column.first for column in columns)
        first = self._wanted(True, FIRST_CHANGE, node.first_withdraws, votes)
        if node.change != NO_CHANGE:
            votes = tuple(column.second for column in columns)
            second = self._wanted(False, node.change, node.second_withdraws, votes)
        else:
            second = (self._read if node.reading else 0,) * len(columns)
        sent = (
            column._replace(sent=column.sent & self._live(column.state) | one | two)
            for column, one, two in zip(columns, first, second, strict=True)
        )
        return node._replace(columns=tuple(sorted(sent)))

    def _live_of(self, number: int) -> int:
        """Return the orders that change this rank or a later state of it."""
        live = 0
        seen = {number}
        stack = [number]
        while stack:
            at = stack.pop()
            after = self._step(at) if self._states[at].entered < self._setup.last_step else -1
            found = {after} - {-1}
            for order in range(len(self._orders)):
                moved = self._answer(at, order, NO_CHANGE)[0]
                if moved != at:
                    live |= 1 << order
                    found.add(moved)
            stack.extend(found - seen)
            seen |= found
        return live

    def _handling_of(
        self, first: bool, change: int, withdraws: bool, votes: tuple[Vote, ...]
    ) -> ChangeProgress:
        term = FIRST_TERM if first else SECOND_TERM
        return self._setup.handling(
            term=term, change=CHANGES[change], votes=votes, withdrawing=withdraws
        )

    def _wanted_of(
        self, first: bool, change: int, withdraws: bool, votes: tuple[Vote, ...]
    ) -> tuple[int, ...]:
        handling = self._handling_of(first, change, withdraws, votes)
        orders = (handling.order(rank) for rank in range(len(votes)))
        return tuple(0 if one is None else 1 << self._order_number(one) for one in orders)

    def _settled_of(
        self, first: bool, change: int, withdraws: bool, votes: tuple[Vote, ...]
    ) -> bool:
        return self._handling_of(first, change, withdraws, votes).settled

    def _step_of(self, number: int) -> int:
        after = enter_step(self._states[number])
        return -1 if after is None else self._number(after)

    def _answer_of(self, number: int, order: int, change: int) -> tuple[int, Vote, Vote]:
        """Return the rank after an order, and its votes on the two deciders' changes.

        Staging is not searched: the weights of the order's change are taken to be at hand.
        """
        state = self._states[number]
        given = self._orders[order]
        wanted = getattr(given, "change", None)
        staging = None if wanted is None else wanted.target
        answer = self._setup.obey(replace(state, staging=staging), given).state
        after = self._number(replace(answer, staging=None))
        return after, self._learned(answer, FIRST_CHANGE), self._learned(answer, change)

    def _learned(self, state: RankState, change: int) -> Vote:
        if change == NO_CHANGE:
            return Vote.UNREAD
        return self._handling_of(True, change, False, (Vote.UNREAD,)).with_state(state).votes[0]

    def _number(self, state: RankState) -> int:
        number = self._state_numbers.setdefault(state, len(self._states))
        if number == len(self._states):
            self._states.append(state)
        return number

    def _order_number(self, order: Order) -> int:
        number = self._order_numbers.setdefault(order, len(self._orders))
        if number == len(self._orders):
            self._orders.append(order)
        return number

    def _has_two_maps(self, node: Node) -> bool:
        maps: dict[int, MapId | None] = {}
        states = (self._states[column.state] for column in node.columns)
        return any(maps.setdefault(one.entered, one.map) != one.map for one in states)

    def _at_rest(self, node: Node) -> bool:
        states = [self._states[column.state] for column in node.columns]
        ended = all(one.entered == self._setup.last_step and one.armed is None for one in states)
        return ended and not self._has_two_maps(node)


def search(setup: Setup) -> Found:
    """Visit every reachable state of ``setup`` and check both properties."""
    return Search(setup).run()


def _with(node: Node, at: int, column: Column) -> Node:
    return node._replace(columns=node.columns[:at] + (column,) + node.columns[at + 1 :])


def _all_orders() -> Iterator[Order]:
    """Yield every order that either decider can ever give."""
    for term, changes in ((FIRST_TERM, CHANGES[:1]), (SECOND_TERM, CHANGES)):
        yield Read(term=term)
        for change in changes:
            for kind in (Arm, Withdraw, Abort, Commit):
                yield kind(term=term, change=change)


def _bits_of(mask: int) -> tuple[int, ...]:
    return tuple(bit for bit in range(mask.bit_length()) if mask >> bit & 1)


def _count_leading_to(before: list[list[int]], rest: list[int]) -> int:
    seen = set(rest)
    stack = list(rest)
    while stack:
        for earlier in before[stack.pop()]:
            if earlier not in seen:
                seen.add(earlier)
                stack.append(earlier)
    return len(seen)
