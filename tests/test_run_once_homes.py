"""Homes of idempotency keys: fences, quarantines, planned stops and VMs presumed gone."""

import unittest
from dataclasses import replace

from carawayhub.agent.fence import Established, Missing
from carawayhub.agent.homes import Homes
from carawayhub.agent.keyset import Seat, key_set, key_sets, unsafe_removals
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import FenceAck, FenceRequest, LookUp
from carawayhub.agent.vmwatch import VmWatch
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.config.model import (
    Configuration,
    Endpoint,
    EndpointState,
    FleetOptions,
    ModelGroup,
    Service,
)
from carawayhub.errors import PeerError
from tests.key_world import KEY_TTL, RATES, SCOPE, TIMING, World, key_of, member, set_of

A, B, C, D = (member(name) for name in "abcd")
RETENTION = TIMING.retention(KEY_TTL) / min(RATES.values())
"""True time after which the retention of every agent has passed."""


def key_moving(world, *homes):
    """Return a key whose homes under the world's sets are ``homes``, in order."""
    numbers = range(10_000)
    return next(k for k in map(key_of, numbers) if tuple(s.home(k) for s in world.sets) == homes)


class Fleet(unittest.TestCase):
    """A world whose first set is established, with its quarantine over."""

    def fleet(self, *sets):
        world = World([set_of(names) for names in sets])
        for slot in world.sets[0].members:
            world.start(slot, 1)
        world.advance(RETENTION)
        self.settle(world)
        return world

    def settle(self, world, unreachable=()):
        """Make all agents ask each other; drop messages to and from ``unreachable`` agents."""
        for _ in range(3):
            for slot in sorted(world.agents):
                if slot not in unreachable:
                    world.ask(slot)
            self.arrive(world, unreachable)

    def arrive(self, world, unreachable=()):
        world.in_transit = [
            one
            for one in world.in_transit
            if one.to not in unreachable and one.sender not in unreachable
        ]
        while world.in_transit:
            world.deliver(0)
            world.in_transit = [
                one
                for one in world.in_transit
                if one.to not in unreachable and one.sender not in unreachable
            ]

    def publish(self, world, *, but=()):
        world.latest += 1
        for slot in sorted(world.agents):
            if slot not in but:
                world.adopt(slot, world.latest)

    def call(self, world, key, version=None):
        """Send a key; return the total number of attempts started so far."""
        world.send(key, version or world.latest)
        self.arrive(world)
        return world.runs

    def refusal(self, world, slot, key):
        refused = world.agents[slot].homes.admit(key)
        return None if refused is None else refused.code

    def end_runs(self, world):
        for run in world.finishable():
            world.finish(run, sent=True)

    def restart_as_planned(self, world, slot):
        world.stop(slot)
        self.arrive(world)
        world.stop(slot)
        self.assertNotIn(slot, world.agents)
        world.start(slot, world.latest)


class MovesTest(Fleet):
    """Joins and planned leaves."""

    def test_a_key_that_moves_with_a_planned_leave_is_answered_at_its_new_home(self):
        """A request runs, its reply is lost, and its endpoint is listed as leaving.

        The retry reaches the new home, which must already have the record.
        """
        world = self.fleet("a b c", "a- b c")
        key = key_moving(world, A, B)
        self.call(world, key)
        self.end_runs(world)
        self.publish(world)
        self.settle(world)
        self.assertEqual((self.call(world, key), world.replays), (1, 1))

    def test_the_new_home_waits_for_an_agent_that_has_not_heard(self):
        """An endpoint joins, but the agent at a key's old home has not received the change.

        An entry that has not received it either still sends the key to the old home. If the new
        home started at once, the key would run at both.
        """
        world = self.fleet("a b", "a b c")
        key = key_moving(world, A, C)
        world.start(C, 2)
        world.advance(RETENTION)
        self.publish(world, but=(A,))
        self.settle(world)
        self.assertEqual(self.refusal(world, C, key), Code.RUN_HOME_UNREACHABLE)
        self.assertEqual(world.agents[C].homes.status(SCOPE), Missing((A,)))
        world.adopt(A, 2)
        self.settle(world)
        self.assertIsNone(self.refusal(world, C, key))
        self.assertEqual(self.refusal(world, A, key), Code.RUN_HOME_UNREACHABLE)

    def test_a_run_that_goes_on_at_the_old_home_is_not_repeated(self):
        """The key of a long request moves while it runs, and the retry reaches the new home."""
        world = self.fleet("a b c", "a- b c")
        key = key_moving(world, A, B)
        self.call(world, key)
        self.publish(world)
        self.settle(world)
        self.assertEqual(self.call(world, key), 1)
        self.end_runs(world)
        self.call(world, key)
        self.call(world, key)
        self.assertEqual((world.runs, world.replays), (1, 1))

    def test_keys_that_did_not_move_go_on_while_a_member_cannot_be_reached(self):
        """One agent is unreachable while an endpoint joins; keys that stay must still run."""
        world = self.fleet("a b c", "a b c d")
        stays, moves = key_moving(world, A, A), key_moving(world, A, D)
        world.start(D, 2)
        world.advance(KEY_TTL * 0.3)
        self.publish(world, but=(C,))
        self.settle(world, unreachable=(C,))
        self.assertIsNone(self.refusal(world, A, stays))
        self.assertEqual(self.refusal(world, D, moves), Code.RUN_HOME_UNREACHABLE)

    def test_a_late_promise_from_before_the_key_went_away_and_came_back_does_not_count(self):
        """The set changes and changes back while a promise from the first period is in transit.

        Meanwhile the key ran elsewhere. If the old promise were accepted, the key would run again.
        """
        world = self.fleet("a b", "a b-", "a b")
        key = key_moving(world, B, A, B)
        world.advance(KEY_TTL * 0.1)
        world.ask(B)
        world.deliver(0)
        late = world.in_transit.pop()
        self.publish(world)
        self.settle(world)
        self.call(world, key)
        self.end_runs(world)
        self.publish(world)
        world.in_transit.append(late)
        self.arrive(world)
        self.assertEqual(self.refusal(world, B, key), Code.RUN_HOME_UNREACHABLE)
        self.settle(world)
        self.assertEqual((self.call(world, key), world.replays), (1, 1))

    def test_a_member_that_was_dropped_without_leaving_is_heard_first(self):
        """A configuration drops an endpoint whose agent has not received it and still runs keys.

        An endpoint that joins later never saw it in a configuration; its peers must report it.
        """
        world = self.fleet("a b c", "b c", "b c d")
        key = key_moving(world, A, B, D)
        self.publish(world, but=(A,))
        world.start(D, 2)
        world.advance(KEY_TTL * 0.45)
        self.publish(world, but=(A,))
        self.settle(world, unreachable=(A,))
        world.advance(KEY_TTL * 0.45)
        self.settle(world, unreachable=(A,))
        world.advance(RETENTION)
        self.settle(world, unreachable=(A,))
        self.assertEqual(self.refusal(world, D, key), Code.RUN_HOME_UNREACHABLE)
        self.assertEqual(world.agents[D].homes.status(SCOPE), Missing((A,)))
        world.adopt(A, 3)
        self.settle(world)
        self.assertIsNone(self.refusal(world, D, key))


class EndsTest(Fleet):
    """Crashes, planned stops and VMs that are presumed gone."""

    def test_a_restarted_agent_distrusts_keys_until_they_have_expired(self):
        """An agent crashes after it ran a request and restarts; the client retries."""
        world = self.fleet("a b")
        key = key_moving(world, A)
        self.call(world, key)
        self.end_runs(world)
        world.crash(A)
        world.start(A, 1)
        self.settle(world)
        self.assertEqual(self.refusal(world, A, key), Code.RUN_QUARANTINE)
        world.advance(RETENTION)
        self.settle(world)
        self.assertIsNone(self.refusal(world, A, key))

    def test_a_member_that_lost_its_memory_passes_its_quarantine_on(self):
        """The home of a key crashes and restarts, then the key moves to a peer."""
        world = self.fleet("a b c", "a- b c")
        key = key_moving(world, A, B)
        self.call(world, key)
        world.crash(A)
        world.start(A, 1)
        self.publish(world)
        self.settle(world)
        self.assertEqual(self.refusal(world, B, key), Code.RUN_QUARANTINE)

    def test_a_planned_restart_needs_no_quarantine(self):
        """A planned reboot of the VM happens between a request and its retry."""
        world = self.fleet("a b c")
        ran, new = key_moving(world, A), key_of(10_001)
        self.call(world, ran)
        self.end_runs(world)
        self.restart_as_planned(world, A)
        self.settle(world)
        self.assertEqual((self.call(world, ran), world.replays), (1, 1))
        self.assertEqual(world.agents[A].homes.status(SCOPE), Established(0.0))
        self.assertNotEqual(self.refusal(world, A, new), Code.RUN_QUARANTINE)

    def test_a_crash_after_a_planned_restart_is_not_taken_for_the_planned_stop(self):
        """After a planned restart an agent runs a request and crashes; a third incarnation starts.

        Its peers still hold the handover of the first one, which has no record of the request.
        """
        world = self.fleet("a b c")
        self.restart_as_planned(world, A)
        self.settle(world)
        key = key_moving(world, A)
        self.assertEqual(self.call(world, key), 1)
        world.crash(A)
        world.start(A, 1)
        self.settle(world)
        self.assertEqual(self.refusal(world, A, key), Code.RUN_QUARANTINE)

    def test_a_stop_waits_for_its_runs_and_an_agent_that_stops_takes_nothing_over(self):
        """Two agents stop at once; entries handed from one to the other would be lost with it."""
        world = self.fleet("a b c")
        self.call(world, key_moving(world, A))
        world.stop(A)
        self.assertIsNone(world.agents[A].pending_handover)
        self.end_runs(world)
        world.agents[B].homes.close()
        world.stop(A)
        handover = next(one.body for one in world.in_transit if one.to == B)
        with self.assertRaises(PeerError):
            world.agents[B].homes.take_handover(handover, world.agents[B].ledger)
        self.arrive(world)
        world.stop(A)
        self.assertIn(A, world.agents)

    def test_a_vm_that_is_gone_is_passed_over_after_a_quarantine(self):
        """A VM fails permanently and an operator lists its endpoint as leaving."""
        world = self.fleet("a b c", "a- b c")
        key = key_moving(world, A, B)
        self.call(world, key)
        world.crash(A)
        self.publish(world)
        self.settle(world)
        self.assertEqual(self.refusal(world, B, key), Code.RUN_HOME_UNREACHABLE)
        for slot in (B, C):
            world.note_gone(A, slot)
        self.assertEqual(self.refusal(world, B, key), Code.RUN_QUARANTINE)
        for _ in range(5):
            world.advance(KEY_TTL * 0.4)
            self.settle(world)
        self.assertIsNone(self.refusal(world, B, key))

    def test_an_agent_that_starts_later_learns_from_its_peers_which_vms_are_gone(self):
        """A VM fails; before its endpoint is replaced, another agent crashes and restarts.

        The new incarnation never saw the failed VM listed and would wait for it indefinitely.
        """
        world = self.fleet("a b c")
        world.crash(A)
        for slot in (B, C):
            world.note_gone(A, slot)
        world.crash(B)
        world.start(B, 1)
        for _ in range(6):
            self.settle(world)
            world.advance(KEY_TTL * 0.4)
        self.settle(world)
        self.assertEqual(world.agents[B].homes.status(SCOPE), Established(0.0))

    def test_an_agent_whose_vm_is_called_gone_while_it_lives_stops_by_itself(self):
        """The platform's list drops a VM that still runs and is cut off only from its peers.

        Callers still reach it. Its peers replace it; without the confirmation of a majority it
        must have stopped before that.
        """
        world = self.fleet("a b c", "a- b c")
        key = key_moving(world, A, B)
        self.publish(world, but=(A,))
        for slot in (B, C):
            world.note_gone(A, slot)
        taken_over = None
        stopped = None
        for step in range(200):
            world.advance(KEY_TTL * 0.02)
            self.settle(world, unreachable=(A,))
            if stopped is None and self.refusal(world, A, key) is not None:
                stopped = step
            if self.refusal(world, B, key) is None:
                taken_over = step
                break
        self.assertGreater(taken_over - stopped, RETENTION / (KEY_TTL * 0.02))

    def test_an_agent_that_was_believed_gone_and_asks_is_waited_for_again(self):
        world = self.fleet("a b c", "a- b c")
        self.publish(world, but=(A,))
        world.note_gone(A, B)
        self.settle(world, unreachable=(A,))
        self.assertNotEqual(world.agents[B].homes.status(SCOPE), Missing((A,)))
        world.advance(KEY_TTL * 0.1)
        world.ask(A)
        self.arrive(world)
        self.assertEqual(world.agents[B].homes.status(SCOPE), Missing((A,)))

    def test_an_agent_that_lost_its_memory_confirms_nobody(self):
        """A peer applies a set without an agent, crashes, and restarts with the old set.

        Confirming that agent again would let it run keys that now have another home.
        """
        world = self.fleet("a b", "b")
        key = key_moving(world, A, B)
        world.crash(B)
        world.start(B, 1)
        for _ in range(3):
            world.advance(KEY_TTL * 0.25)
            self.settle(world)
        self.assertEqual(self.refusal(world, A, key), Code.RUN_HOME_UNREACHABLE)
        world.advance(RETENTION)
        self.settle(world)
        self.assertIsNone(self.refusal(world, A, key))

    def test_a_lookup_that_meets_another_incarnation_leaves_the_outcome_unknown(self):
        world = self.fleet("a b c", "a- b c")
        key = key_moving(world, A, B)
        self.call(world, key)
        self.publish(world)
        self.settle(world)
        world.crash(A)
        world.start(A, 2)
        self.call(world, key)
        begun = world.agents[B].ledger.begin(key, b"d", world.clock.monotonic() + 1.0)
        self.assertEqual(begun.code, Code.RUN_INCARNATION_GONE)


class MessagesTest(unittest.TestCase):
    """How a fence handles single messages."""

    def setUp(self):
        self.clock = ManualClock()
        self.ledger = Ledger(self.clock, A, 1)
        self.homes = Homes(self.clock, A, 1, TIMING)

    def test_a_reply_to_an_earlier_incarnation_does_not_count(self):
        """An agent restarts while the reply to its predecessor's request 1 is in transit.

        The peer promised before the restart, and has run keys of a newer set since.
        """
        self.homes.adopt({SCOPE: set_of("a b")}, 1)
        ((_, request),) = self.homes.requests(SCOPE)
        ack = FenceAck(
            scope=SCOPE,
            sender=B,
            incarnation=9,
            asker=0,
            sequence=request.sequence,
            version=1,
            digest=request.digest,
        )
        self.assertFalse(self.homes.take(ack, self.ledger))
        self.assertEqual(self.homes.status(SCOPE), Missing((B,)))

    def test_a_silent_member_is_asked_often_and_the_others_at_the_pace_of_the_renewal(self):
        self.homes.adopt({SCOPE: set_of("a b c")}, 1)
        peer = Homes(self.clock, B, 2, TIMING)
        peer.adopt({SCOPE: set_of("a b c")}, 1)
        request = dict(self.homes.requests(SCOPE))[B]
        self.homes.take(peer.answer(request, self.ledger), self.ledger)
        self.assertEqual([asked for asked, _ in self.homes.requests(SCOPE)], [C])
        self.clock.advance(self.homes.renewal(SCOPE) / 2)
        self.assertEqual([asked for asked, _ in self.homes.requests(SCOPE)], [B, C])

    def test_a_new_key_may_be_sent_for_the_lifetime_that_is_promised(self):
        self.homes.adopt({SCOPE: set_of("a b")}, 1)
        kept = self.homes.keep_until(key_of(1)) - self.clock.monotonic()
        self.assertAlmostEqual(self.homes.sendable(SCOPE, kept), KEY_TTL)
        self.assertEqual(self.homes.sendable(SCOPE, 0.5), 0.0)

    def test_an_older_configuration_is_passed_over(self):
        self.homes.adopt({SCOPE: set_of("a b")}, 2)
        self.homes.adopt({SCOPE: set_of("a")}, 1)
        self.assertEqual(self.homes.key_set(SCOPE), set_of("a b"))

    def test_a_service_that_is_used_for_the_first_time_may_go_without_quarantine(self):
        first_use = key_set(SCOPE, (Seat(A),), KEY_TTL, quarantine=False)
        self.homes.adopt({SCOPE: first_use}, 1)
        self.assertIsNone(self.homes.admit(key_of(1)))
        self.homes.adopt({SCOPE: set_of("a b")}, 2)
        self.assertGreater(self.homes.quarantine(SCOPE), 0.0)

    def test_a_service_that_is_not_configured_runs_no_key(self):
        self.assertEqual(self.homes.admit(key_of(1)).code, Code.RUN_HOME_UNREACHABLE)
        self.homes.adopt({SCOPE: set_of("a")}, 1)
        self.homes.adopt({}, 2)
        self.assertEqual(self.homes.admit(key_of(1)).code, Code.RUN_HOME_UNREACHABLE)

    def test_a_peer_at_another_set_gets_no_promise(self):
        self.homes.adopt({SCOPE: set_of("a b")}, 1)
        request = FenceRequest(
            scope=SCOPE, sender=B, incarnation=9, sequence=1, version=2, digest="other"
        )
        self.assertNotIsInstance(self.homes.answer(request, self.ledger), FenceAck)

    def test_an_unknown_try_is_answered_without_a_claim(self):
        run = self.ledger.begin(key_of(1), b"d", 5.0).run
        reply = self.ledger.look_up(LookUp(key_of(2), run))
        self.assertEqual((reply.not_run, reply.entry), (False, None))


class KeySetTest(unittest.TestCase):
    """Homes derived from the configuration."""

    KEYS = [key_of(number) for number in range(3000)]

    def test_keys_spread_evenly_and_only_those_of_a_leaving_member_move(self):
        before, after = set_of("a b c"), set_of("a b c-")
        homes = [before.home(key) for key in self.KEYS]
        for one in (A, B, C):
            self.assertAlmostEqual(homes.count(one) / len(homes), 1 / 3, delta=0.03)
        moved = [k for k, home in zip(self.KEYS, homes, strict=True) if after.home(k) != home]
        self.assertEqual({before.home(key) for key in moved}, {C})
        self.assertEqual(len(moved), homes.count(C))

    def test_sets_come_from_services_and_model_groups(self):
        cfg = configuration()
        sets = key_sets(cfg)
        self.assertEqual(set(sets), {"service/booking", "model/repair"})
        self.assertEqual([s.member.endpoint for s in sets["model/repair"].seats], ["g1", "g2"])
        key = replace_key(key_of(1), "model/repair", "athens")
        self.assertEqual(sets["model/repair"].home(key).endpoint, "g1")
        moved = replace(cfg.endpoints["b1"], agent="10.9.9.9:7100")
        changed = replace(cfg, endpoints={**cfg.endpoints, "b1": moved})
        self.assertNotEqual(key_sets(changed)["service/booking"].digest, sets[SCOPE].digest)

    def test_a_removal_is_unsafe_unless_the_endpoint_was_leaving(self):
        cfg = configuration()
        without = replace(cfg, services={SERVICE.name: replace(SERVICE, endpoints=("b1",))})
        self.assertEqual([m.endpoint for _, m in unsafe_removals(cfg, without)], ["b2"])
        b2 = replace(cfg.endpoints["b2"], state=EndpointState.LEAVING)
        leaving = replace(cfg, endpoints={**cfg.endpoints, "b2": b2})
        self.assertEqual(unsafe_removals(leaving, without), ())


SERVICE = Service(name="booking", endpoints=("b1", "b2"), routes=())


def replace_key(key, scope, organisation):
    return type(key)(scope, organisation, key.key)


def configuration():
    endpoints = {
        name: Endpoint(
            name=name,
            vm=f"vm-{name}",
            url="http://10.0.0.1:8000",
            agent=f"10.0.0.1:{port}",
            failure_domain="Attica",
            region="mainland",
            provider="new",
        )
        for port, name in enumerate(("b1", "b2", "g1", "g2"), 7100)
    }
    groups = {
        "g1": ModelGroup(name="g1", model="repair", endpoints=("g1",)),
        "g2": ModelGroup(name="g2", model="repair", endpoints=("g2",), organisations=("patra",)),
    }
    return Configuration(
        version=1,
        digest="",
        fleet=FleetOptions(),
        entries={},
        endpoints=endpoints,
        organisations={},
        groups=groups,
        services={SERVICE.name: SERVICE},
        shares={},
    )


class VmWatchTest(unittest.TestCase):
    """When a VM counts as gone."""

    def setUp(self):
        self.clock = ManualClock()
        self.watch = VmWatch(self.clock, absent_seconds=60.0)
        self.names = {f"vm-{number}" for number in range(10)}

    def observe(self, names, after=0.0):
        self.clock.advance(after)
        return self.watch.observe(names)

    def test_a_vm_is_gone_after_it_was_missing_for_a_while(self):
        rest = self.names - {"vm-3"}
        self.assertEqual(self.observe(self.names), ())
        self.assertEqual(self.observe(rest), ())
        self.assertEqual(self.observe(rest, after=59.0), ())
        self.assertEqual(self.observe(rest, after=1.0), ("vm-3",))

    def test_a_vm_that_is_listed_again_is_not_gone(self):
        rest = self.names - {"vm-3"}
        self.observe(self.names)
        self.observe(rest)
        self.observe(self.names, after=59.0)
        self.assertEqual(self.observe(rest, after=1.0), ())

    def test_a_list_that_shrinks_at_once_proves_nothing(self):
        """The platform keeps answering from an outdated copy that lacks most VMs."""
        self.observe(self.names)
        few = {"vm-0", "vm-1"}
        self.assertEqual(self.observe(few), ())
        self.assertEqual(self.observe(few, after=600.0), ())
        self.assertEqual(self.observe(few, after=600.0), ())


if __name__ == "__main__":
    unittest.main()
