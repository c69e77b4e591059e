"""Heartbeats of a large fleet, and key sets that most versions leave as they are."""

import unittest
from dataclasses import replace

from benchmarks.fakes import fake_configuration
from carawayhub.agent.keyset import KeySets, key_sets
from carawayhub.config.model import (
    Configuration,
    EndpointState,
    FleetOptions,
    Limits,
    ModelGroup,
    Service,
)
from carawayhub.fleet.pace import heartbeat_interval, permit_bound


class PaceTest(unittest.TestCase):
    """Heartbeats are never so far apart that permits run out in between."""

    def test_permits_of_a_large_fleet_outlast_a_lost_report(self) -> None:
        """Callers of a grown fleet are refused again and again although all endpoints are well.

        An entry with over a hundred links beats each of them more seldom to save processor time.
        A permit lasts 2 s from the heartbeat that was answered; the next came after 3 s.
        """
        fleet = FleetOptions()
        for links in (1, 27, 100, 164, 1_000):
            bound = permit_bound(fleet.permit_ttl)
            beat = heartbeat_interval(links, fleet.report_interval, bound)
            self.assertLessEqual(2 * beat, fleet.permit_ttl)

    def test_small_fleets_keep_the_interval_that_is_configured(self) -> None:
        self.assertEqual(heartbeat_interval(12, 0.5, 1.0), 0.5)
        self.assertEqual(heartbeat_interval(20, 0.5, 1.0), 0.8)


class KeySetsTest(unittest.TestCase):
    """A set that is kept although a member moved would let two agents run one key."""

    def setUp(self) -> None:
        cfg = fake_configuration(4, 2, {"org": Limits()})
        names = tuple(cfg.endpoints)
        self.cfg = replace(
            cfg,
            groups={"group": ModelGroup(name="group", model="model", endpoints=names[:2])},
            services={"booking": Service(name="booking", endpoints=names[2:], routes=())},
        )
        self.first = names[0]
        self.sets = KeySets()
        self.before = self.sets.of(self.cfg)

    def test_changes_of_no_member_keep_the_sets(self) -> None:
        self.assertIs(self.sets.of(self._with(capacity=7)), self.before)

    def test_changes_of_a_member_are_taken_in(self) -> None:
        changes = (
            self._with(agent="10.9.9.9:7"),
            self._with(vm="another"),
            self._with(state=EndpointState.LEAVING),
            replace(self.cfg, fleet=FleetOptions(key_ttl=60.0)),
            replace(self.cfg, groups={}),
            replace(self.cfg, services={}),
            replace(self.cfg, groups=self._group(organisations=("org",))),
        )
        for number, cfg in enumerate(changes):
            with self.subTest(number=number):
                self.assertEqual(self.sets.of(cfg), key_sets(cfg))
                self.assertNotEqual(self.sets.of(cfg), self.before)

    def test_a_change_that_is_undone_is_undone_in_the_sets(self) -> None:
        self.sets.of(self._with(vm="another"))
        self.assertEqual(self.sets.of(self.cfg), self.before)

    def _with(self, **changes: object) -> Configuration:
        changed = replace(self.cfg.endpoints[self.first], **changes)  # type: ignore[arg-type]
        return replace(self.cfg, endpoints={**self.cfg.endpoints, self.first: changed})

    def _group(self, **changes: object) -> dict[str, ModelGroup]:
        return {"group": replace(self.cfg.groups["group"], **changes)}  # type: ignore[arg-type]
