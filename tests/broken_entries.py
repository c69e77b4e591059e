"""Runs an entry that breaks a promise: ``python -m tests.broken_entries VARIANT entry``.

The product has no such switch. A soak whose checker does not find each variant checks nothing.
"""

import os
import random
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from carawayhub.gateway.admission import AdmissionControl
from carawayhub.gateway.evacuations import Evacuations
from carawayhub.gateway.follower import Follower
from carawayhub.gateway.hello import News
from carawayhub.gateway.model import EndpointState, Repeat
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import Source
from carawayhub.gateway.revision import Eras, Revision
from carawayhub.gateway.view import FleetView
from carawayhub.limits.blame import Suspects, is_part
from carawayhub.limits.parthistory import PartHistory
from carawayhub.limits.poison import PoisonRecords
from carawayhub.platform import headers, mirror, published
from carawayhub.platform.__main__ import main

VARIABLE = "CARAWAYHUB_TEST_BROKEN"
"""Environment variable by which a soak is told which variant one of its entries runs."""

HELD_SECONDS = 3.0
BACKWARDS_PART = 0.05


def _held_back() -> None:
    """Put each configuration into force three seconds late."""
    take = FleetView._apply_table

    def hold(self: FleetView, table: Any, source: Any) -> None:
        waiting = _WAITING.setdefault(id(self), [])
        waiting.append((time.monotonic() + HELD_SECONDS, table))
        if self.table is None:
            take(self, table, source)

    admit = AdmissionControl.admit

    def admit_late(self: AdmissionControl, req: Any, arrived_at: float) -> Any:
        view = self._view
        waiting = _WAITING.get(id(view), [])
        while waiting and waiting[0][0] <= time.monotonic():
            view.table = waiting.pop(0)[1]
        return admit(self, req, arrived_at)

    FleetView._apply_table = hold  # type: ignore[method-assign]
    AdmissionControl.admit = admit_late  # type: ignore[method-assign]


def _backwards() -> None:
    """Route some requests by the first configuration that the process ever had."""
    admit = AdmissionControl.admit
    first: list[Any] = []

    def admit_by_any(self: AdmissionControl, req: Any, arrived_at: float) -> Any:
        view = self._view
        if not first and view.table is not None:
            first.append(view.table)
        if not first or random.random() > BACKWARDS_PART:
            return admit(self, req, arrived_at)
        newest, view.table = view.table, first[0]
        try:
            return admit(self, req, arrived_at)
        finally:
            view.table = newest

    AdmissionControl.admit = admit_by_any  # type: ignore[method-assign]


def _deaf() -> None:
    """Take in nothing that peers tell of new revisions, and prove nothing."""

    async def nothing(self: Follower) -> None:
        return

    Follower.note_revision = lambda self, revision: None  # type: ignore[method-assign]
    Follower._prove = nothing  # type: ignore[method-assign]
    FleetView.confirm_revision = (  # type: ignore[method-assign]
        lambda self, revision, proved_at: self.confirm(proved_at)
    )


def _old_keys() -> None:
    """Let in every key that the process ever knew."""
    organisation = AdmissionControl._organisation
    known: dict[str, Any] = {}

    def by_any(self: AdmissionControl, table: Any, route: Any, req: Any) -> Any:
        known.update(table.organisations)
        table.organisations.update(known)
        return organisation(self, table, route, req)

    AdmissionControl._organisation = by_any  # type: ignore[method-assign]


def _runs_twice() -> None:
    """Send what may run once to a second endpoint where the first gave no answer."""
    route = published._route

    def repeatable(wire: Any) -> Any:
        return replace(route(wire), repeat=Repeat.IDEMPOTENT, attempts=2)

    published._route = repeatable


def _uses_leaving() -> None:
    """Take no notice of endpoints that say that they leave."""
    take = FleetView._apply_endpoint

    def take_ready(self: FleetView, endpoint: Any, source: Source) -> None:
        if endpoint.state is EndpointState.READY:
            take(self, endpoint, source)

    FleetView._apply_endpoint = take_ready  # type: ignore[method-assign]


def _ignores_backoff() -> None:
    """Take no notice of backoffs that replicas request."""
    ServicePool.record_backoff = (  # type: ignore[method-assign]
        lambda self, endpoint_id, seconds: None
    )


def _ignores_announced() -> None:
    """Take no notice of replicas that announce their leaving in answers."""
    FleetView.record_leaving = lambda self, endpoint_id: False  # type: ignore[method-assign]


def _ignores_evacuations() -> None:
    """Send requests to evacuated failure domains."""
    Evacuations.__contains__ = lambda self, domain: False  # type: ignore[method-assign]


def _one_era() -> None:
    """Compare revisions of the store across its eras."""
    for kind in (News, mirror._Content):
        kind.position = property(lambda self: Revision(0, self.revision))  # type: ignore[assignment]
    Eras.attribute = lambda self, stated: 0  # type: ignore[method-assign]
    Eras.infer_return = lambda self: 0  # type: ignore[method-assign]
    Eras.accept_from_peer = lambda self, era, peer: True  # type: ignore[method-assign]


def _knows_whole_requests() -> None:
    """Take no notice of the parts of prompts."""
    headers._shared_parts = lambda *args: ()


def _blames_every_part() -> None:
    """Blame each part that was at several ends, also the first one that all callers share."""
    clear = PoisonRecords._clear

    def clear_contents(self: PoisonRecords, traits: Any, *, answered: bool = False) -> None:
        clear(self, [each for each in traits if not is_part(each)], answered=answered)

    PoisonRecords._clear = clear_contents  # type: ignore[method-assign]
    Suspects._explains = lambda self, rival, trait: False  # type: ignore[method-assign]
    PartHistory.was_answered = lambda self, part: False  # type: ignore[method-assign]


_WAITING: dict[int, list[tuple[float, Any]]] = {}

VARIANTS: dict[str, Callable[[], None]] = {
    "held-back": _held_back,
    "backwards": _backwards,
    "deaf": _deaf,
    "old-keys": _old_keys,
    "runs-twice": _runs_twice,
    "uses-leaving": _uses_leaving,
    "ignores-backoff": _ignores_backoff,
    "ignores-announced": _ignores_announced,
    "ignores-evacuations": _ignores_evacuations,
    "one-era": _one_era,
    "knows-whole-requests": _knows_whole_requests,
    "blames-every-part": _blames_every_part,
}


def command_of_entry(broken: bool) -> list[str]:
    """Return the module and arguments that start an entry.

    Args:
        broken: Whether it runs the variant that the environment names, if it names one.
    """
    variant = os.environ.get(VARIABLE, "")
    if variant and broken:
        return ["tests.broken_entries", variant, "entry"]
    return ["carawayhub.platform", "entry"]


if __name__ == "__main__":
    VARIANTS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:]))
