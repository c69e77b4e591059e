"""Tests endpoint selection with late reports, lost cache events and unhealthy endpoints."""

import dataclasses
import unittest
from collections import Counter

from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.config.model import EndpointState, ModelGroup
from carawayhub.errors import RequestError
from carawayhub.peers.messages import CacheEvents, ServingState
from carawayhub.routing.query import Condition, Reason
from tests.routing_fakes import RouterHarness, configuration, query, report


class LateReports(unittest.TestCase):
    """Load reports that are older than the decisions based on them."""

    def test_entries_do_not_herd_onto_the_endpoint_that_was_idle(self) -> None:
        """Guards against a thundering herd at one idle endpoint.

        One endpoint reports no load and the others some. Before its next report, seven entries
        dispatch ten requests each. All see the same reports, and none sees the others' requests.
        """
        cfg = configuration(12)
        clock = ManualClock(1000.0)
        harnesses = [RouterHarness(cfg, seed, clock) for seed in range(7)]
        idle = harnesses[0].names[0]
        for _ in range(20):
            self._past_traffic(harnesses)
        for harness in harnesses:
            harness.receive_all(running=8)
            harness.receive(idle, running=0)
        clock.advance(0.1)
        sent: Counter[str] = Counter()
        for _ in range(10):
            for harness in harnesses:
                choice = harness.router.choose(query())
                harness.router.begin(choice.endpoint)
                sent[choice.endpoint] += 1
        self.assertGreater(sent[idle], 70 / 12)
        self.assertLess(sent[idle], 24)

    def test_a_popular_prefix_does_not_overload_its_holder(self) -> None:
        """Guards against overloading the endpoint that holds a popular prefix.

        Seven entries know that it holds the prefix. None sees the others' requests before the next
        report, so each considers it below the load bound.
        """
        cfg = configuration(12)
        clock = ManualClock(1000.0)
        harnesses = [RouterHarness(cfg, seed, clock) for seed in range(7)]
        holder, blocks = harnesses[0].names[0], (11, 12, 13, 14)
        for _ in range(20):
            self._past_traffic(harnesses)
        for harness in harnesses:
            harness.receive_all(running=8)
            harness.receive(holder, running=8, cache=CacheEvents(first=0, added=blocks))
        clock.advance(0.1)
        sent: Counter[str] = Counter()
        for _ in range(10):
            for harness in harnesses:
                choice = harness.router.choose(query(prefix_blocks=blocks))
                harness.router.begin(choice.endpoint)
                sent[choice.endpoint] += 1
        self.assertGreaterEqual(sent[holder], 7)
        self.assertLess(sent[holder], 25)

    def test_a_quiet_entry_does_not_refuse_for_what_others_may_send(self) -> None:
        """Guards against rejecting requests although the endpoints have capacity.

        The entry has sent nothing for a while, but others have. It assumes many requests by others
        for each of its own. This estimate may change the selection but must not make an endpoint
        count as full.
        """
        harness = RouterHarness(configuration(2))
        for _ in range(10):
            harness.receive_all(running=8)
        self.assertEqual(harness.send_and_hold(60).total(), 60)

    def _past_traffic(self, harnesses: list[RouterHarness]) -> None:
        """Give each entry one request at each endpoint while a report of seven is sampled."""
        tokens = [
            (harness, harness.router.begin(name)) for harness in harnesses for name in harness.names
        ]
        harnesses[0].clock.advance(0.5)
        for harness in harnesses:
            harness.receive_all(running=7)
        for harness, token in tokens:
            harness.router.finish(token)

    def test_own_requests_count_on_top_of_an_old_report(self) -> None:
        """An older report must not hide a request, and a later one must not count it twice."""
        harness = RouterHarness(configuration(1))
        name = harness.names[0]
        harness.receive(name, running=0)
        harness.clock.advance(1.0)
        harness.router.begin(name)
        harness.clock.advance(1.0)
        harness.receive(name, running=0, load_age=1.5)
        self.assertEqual(harness.router.states()[0].load, 1.0)
        harness.clock.advance(1.0)
        harness.receive(name, running=1, load_age=0.1)
        self.assertEqual(harness.router.states()[0].load, 1.0)

    def test_a_late_answer_to_an_old_heartbeat_does_not_bring_back_a_state(self) -> None:
        """Guards against sending requests to an endpoint that is leaving.

        An answer of "serving" is delayed and arrives after the newer answer of "leaving". It must
        not override the newer one.
        """
        harness = RouterHarness(configuration(1))
        name = harness.names[0]
        old = harness.clock.monotonic()
        harness.clock.advance(0.5)
        harness.receive(name, state=ServingState.LEAVING)
        harness.router.observe(report(name), old)
        self.assertFalse(harness.router.permitted(name))


class Permits(unittest.TestCase):
    """Conditions under which requests may be sent."""

    def test_a_permit_counts_from_the_moment_the_heartbeat_was_sent(self) -> None:
        """Guards against sending requests to an endpoint that has left.

        The answer to a heartbeat is slow. If the permit counted from its arrival, the entry would
        still dispatch after the agent considers the permit expired.
        """
        harness = RouterHarness(configuration(1))
        asked_at = harness.clock.monotonic()
        harness.clock.advance(1.5)
        harness.router.observe(report(harness.names[0], permit=2.0), asked_at)
        self.assertTrue(harness.router.permitted(harness.names[0]))
        harness.clock.advance(0.6)
        self.assertFalse(harness.router.permitted(harness.names[0]))
        with self.assertRaises(RequestError) as caught:
            harness.router.choose(query())
        self.assertEqual(caught.exception.code, Code.NO_ENDPOINT)
        self.assertGreater(caught.exception.retry_after or 0.0, 0.0)

    def test_any_source_that_says_leaving_ends_new_work(self) -> None:
        cfg = configuration(3)
        by_config, by_list, by_agent = sorted(cfg.endpoints)
        leaving = dataclasses.replace(cfg.endpoints[by_config], state=EndpointState.LEAVING)
        cfg = dataclasses.replace(cfg, endpoints={**cfg.endpoints, by_config: leaving})
        harness = RouterHarness(cfg)
        harness.receive_all()
        harness.router.set_leaving([by_list])
        harness.receive(by_agent, state=ServingState.LEAVING)
        for name in harness.names:
            self.assertFalse(harness.router.permitted(name))
        states = {row.condition for row in harness.router.states()}
        self.assertEqual(states, {Condition.LEAVING})

    def test_tried_endpoints_are_left_out(self) -> None:
        harness = RouterHarness(configuration(2))
        harness.receive_all()
        first = harness.router.choose(query()).endpoint
        second = harness.router.choose(query(), frozenset([first])).endpoint
        self.assertNotEqual(first, second)
        with self.assertRaises(RequestError):
            harness.router.choose(query(), frozenset([first, second]))

    def test_low_priority_finds_no_room_where_high_priority_does(self) -> None:
        harness = RouterHarness(configuration(1))
        harness.receive_all(running=32, queued=16)
        self.assertEqual(harness.router.choose(query(priority=0)).endpoint, harness.names[0])
        with self.assertRaises(RequestError) as caught:
            harness.router.choose(query(priority=9))
        self.assertEqual(caught.exception.code, Code.OVERLOADED)


class Prefixes(unittest.TestCase):
    """Affinity to the endpoint that caches a prompt's prefix."""

    BLOCKS = (11, 12, 13, 14)

    def setUp(self) -> None:
        self.harness = RouterHarness(configuration(6))
        self.harness.receive_all()
        home = self.harness.router.choose(query(prefix_blocks=self.BLOCKS)).endpoint
        self.holder = next(name for name in self.harness.names if name != home)
        self.harness.receive(self.holder, cache=CacheEvents(first=0, added=self.BLOCKS))

    def test_the_holder_is_chosen(self) -> None:
        choice = self.harness.router.choose(query(prefix_blocks=self.BLOCKS))
        self.assertEqual(choice.endpoint, self.holder)
        self.assertEqual(choice.reason, Reason.CACHED_PREFIX)
        self.assertEqual(choice.cached_blocks, 4)

    def test_a_gap_in_cache_events_means_unknown(self) -> None:
        """Guards against affinity to an endpoint that has evicted the prefix.

        The eviction event is lost and later events arrive. The sequence numbers show a gap, and no
        block from before it may count as cached.
        """
        self.harness.receive(self.holder, cache=CacheEvents(first=9, added=(99,)))
        choice = self.harness.router.choose(query(prefix_blocks=self.BLOCKS))
        self.assertEqual(choice.cached_blocks, 0)
        self.assertNotEqual(choice.reason, Reason.CACHED_PREFIX)

    def test_a_repeated_report_is_no_gap(self) -> None:
        self.harness.receive(self.holder, cache=CacheEvents(first=0, added=self.BLOCKS))
        choice = self.harness.router.choose(query(prefix_blocks=self.BLOCKS))
        self.assertEqual(choice.cached_blocks, 4)

    def test_a_loaded_holder_is_passed_over(self) -> None:
        for _ in range(20):
            self.harness.router.begin(self.holder)
        choice = self.harness.router.choose(query(prefix_blocks=self.BLOCKS))
        self.assertNotEqual(choice.endpoint, self.holder)

    def test_entries_agree_on_a_home_without_a_message(self) -> None:
        homes = set()
        for seed in range(5):
            harness = RouterHarness(configuration(6), seed)
            harness.receive_all()
            homes.add(harness.router.choose(query(prefix_blocks=(7, 8))).endpoint)
        self.assertEqual(len(homes), 1)


class UnevenEndpoints(unittest.TestCase):
    """Endpoints that are slow, stalled, failing, joining or flapping."""

    def test_a_straggler_holds_back_its_whole_group(self) -> None:
        """Guards against slow requests at an endpoint that looks healthy.

        One rank of a lock-step group is slow. The others wait for it in each step and report no
        fault, so the whole group must get fewer requests.
        """
        cfg = configuration(6)
        a, b, c, d, e, f = sorted(cfg.endpoints)
        groups = {
            name: ModelGroup(name=name, model="model", endpoints=members)
            for name, members in (("g1", (a, b)), ("g2", (c, d)), ("g3", (e, f)))
        }
        harness = RouterHarness(dataclasses.replace(cfg, groups=groups))
        harness.receive_all(step_seconds=0.006, running=8, tokens_rate=1000.0)
        harness.receive(b, step_seconds=0.018, running=8, tokens_rate=300.0)
        sent = harness.send_and_finish(1200)
        self.assertLess(sent[a] + sent[b], 0.2 * 1200)
        rows = {row.endpoint: row.condition for row in harness.router.states()}
        self.assertEqual(rows[a], Condition.SLOW)
        self.assertEqual(rows[c], Condition.SERVING)

    def test_a_stalled_engine_gets_few_requests(self) -> None:
        harness = RouterHarness(configuration(4))
        harness.receive_all(step_seconds=0.006, running=4, tokens_rate=600.0)
        stalled = harness.names[1]
        harness.receive(stalled, step_seconds=0.006, running=4, tokens_rate=0.0)
        self.assertLess(harness.send_and_finish(1000)[stalled], 60)
        rows = {row.endpoint: row.condition for row in harness.router.states()}
        self.assertEqual(rows[stalled], Condition.STALLED)

    def test_own_requests_without_progress_show_a_stall(self) -> None:
        """An agent reports no problem while its endpoint answers none of this entry's requests."""
        harness = RouterHarness(configuration(4))
        harness.receive_all()
        silent = harness.names[2]
        harness.router.begin(silent)
        harness.clock.advance(5.0)
        self.assertLess(harness.send_and_finish(1000)[silent], 60)

    def test_an_endpoint_that_fails_at_once_does_not_get_the_work(self) -> None:
        """Guards against most requests failing when one endpoint of four is broken.

        It rejects requests immediately, so it is always the least loaded.
        """
        harness = RouterHarness(configuration(4))
        harness.receive_all(running=8)
        broken = harness.names[0]
        harness.receive(broken, running=0)
        failed = 0
        for _ in range(400):
            harness.clock.advance(0.01)
            choice = harness.router.choose(query())
            bad = choice.endpoint == broken
            failed += bad
            harness.router.finish(harness.router.begin(choice.endpoint), ok=not bad)
        self.assertLess(failed, 40)

    def test_a_joining_endpoint_gets_the_part_of_its_ramp(self) -> None:
        cfg = configuration(3)
        joining = sorted(cfg.endpoints)[0]
        ramped = dataclasses.replace(
            cfg.endpoints[joining],
            state=EndpointState.JOINING,
            ramp_from=1000.0,
            ramp_until=1100.0,
        )
        cfg = dataclasses.replace(cfg, endpoints={**cfg.endpoints, joining: ramped})
        harness = RouterHarness(cfg)
        parts = []
        for _ in range(3):
            harness.receive_all()
            parts.append(harness.send_and_hold(60)[joining] / 60)
            harness.clock.advance(50.0)
        self.assertLess(parts[0], 0.06)
        self.assertAlmostEqual(parts[1], 0.2, delta=0.06)
        self.assertAlmostEqual(parts[2], 1 / 3, delta=0.06)

    def test_a_flapping_endpoint_is_trusted_later_each_time(self) -> None:
        """Guards against repeatedly failing requests at an endpoint with a flapping link.

        The endpoint must not get its full share immediately when its link is restored.
        """
        harness = RouterHarness(configuration(4))
        harness.receive_all(running=8)
        once, often = harness.names[2:]
        for _ in range(5):
            harness.router.mark_link_lost(often)
            self.assertFalse(harness.router.permitted(often))
            harness.clock.advance(0.5)
            harness.receive(often, running=0)
        harness.router.mark_link_lost(once)
        harness.receive(once, running=0)
        harness.clock.advance(2.0)
        harness.receive_all()
        sent = harness.send_and_hold(80)
        self.assertGreater(sent[once], 20)
        self.assertLess(sent[often], 10)
        harness.clock.advance(33.0)
        harness.receive_all()
        self.assertGreater(harness.send_and_hold(80)[often], 15)


class Domains(unittest.TestCase):
    """Preference for the entry's own failure domain."""

    def test_own_domain_first_and_smooth_spill_over(self) -> None:
        harness = RouterHarness(configuration(9), failure_domain="domain-a")
        own = {n for n, e in harness.cfg.endpoints.items() if e.failure_domain == "domain-a"}
        parts = []
        for running in (4, 24, 32):
            harness.clock.advance(1.0)
            harness.receive_all(running=2)
            for name in own:
                harness.receive(name, running=running)
            sent = harness.send_and_finish(600)
            parts.append(sum(sent[name] for name in own) / 600)
        self.assertEqual(parts[0], 1.0)
        self.assertTrue(0.2 < parts[1] < 0.8, parts)
        self.assertLess(parts[2], 0.1)


class ProviderParts(unittest.TestCase):
    """Traffic shares of providers."""

    SHARES = {"old": 62.0, "new": 31.0, "spare": 7.0}

    def test_shares_hold_within_a_percent_over_all_entries(self) -> None:
        cfg = configuration(9, self.SHARES)
        harnesses = [RouterHarness(cfg, seed) for seed in range(7)]
        sent: Counter[str] = Counter()
        for index, harness in enumerate(harnesses):
            harness.receive_all()
            for name, count in harness.send_and_finish(100 + 30 * index).items():
                sent[cfg.endpoints[name].provider] += count
        for provider, share in self.SHARES.items():
            self.assertAlmostEqual(100.0 * sent[provider] / sent.total(), share, delta=1.0)

    def test_shares_of_the_rest_hold_while_a_provider_is_away(self) -> None:
        """Guards against flooding a provider that becomes available again.

        While it is unavailable, its share is split among the others in proportion. Afterwards it
        gets its own share and no more.
        """
        harness = RouterHarness(configuration(9, self.SHARES))
        harness.receive_all()
        lost = [n for n, e in harness.cfg.endpoints.items() if e.provider == "new"]
        for name in lost:
            harness.router.mark_link_lost(name)
        away = self._by_provider(harness, 1000)
        self.assertEqual(away["new"], 0)
        self.assertAlmostEqual(away["old"] / 1000, 62 / 69, delta=0.01)
        harness.receive_all()
        back = self._by_provider(harness, 1000)
        self.assertAlmostEqual(back["new"] / 1000, 0.31, delta=0.01)

    def _by_provider(self, harness: RouterHarness, count: int) -> Counter[str]:
        sent: Counter[str] = Counter()
        for name, times in harness.send_and_finish(count).items():
            sent[harness.cfg.endpoints[name].provider] += times
        return sent


if __name__ == "__main__":
    unittest.main()
