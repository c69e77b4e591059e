"""Entries in the platform's store: those of other programs, and of restarted replicas."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.experts.demand import GrowthMeter
from carawayhub.experts.model import RankCounts
from carawayhub.gateway.model import Endpoint, EndpointState, GroupMembership, Incarnation
from carawayhub.gateway.ports import (
    EndpointPublished,
    EndpointRemoved,
    EndpointUnreadable,
    Published,
    TablePublished,
)
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.view import FleetView
from carawayhub.platform.published import decode_route_table
from carawayhub.platform.registrations import decode_endpoint
from tests.gateway_world import endpoint, table
from tests.test_platform_wire import BEAT

ENTRY = BEAT | {
    "group": {"Name": "g0", "epoch": 2, "rank": 3, "State": "open"},
    "size": 12,
    "born": 1_790_000_000_000,
}
GARBAGE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def decode(entry: object, key: str = "servers/i-1") -> Endpoint:
    """Decode an entry to its endpoint."""
    return decode_endpoint(key, json.dumps(entry).encode(), Revision(0, 7))


class Reading(unittest.TestCase):
    """Decoding of one entry."""

    def test_whole_entry(self) -> None:
        found = decode(ENTRY)
        self.assertEqual(found.incarnation, Incarnation("i-1", 1_790_000_000_000))
        self.assertEqual(found.membership, GroupMembership("g0", 2, 3, formed=True, size=12))
        self.assertEqual((found.places, found.registered), (6, Revision(0, 7)))

    def test_endpoint_that_does_not_say_when_it_started(self) -> None:
        entry = {name: value for name, value in ENTRY.items() if name != "born"}
        self.assertEqual(decode(entry).id, "i-1")

    def test_entry_of_another_writer_names_no_endpoint(self) -> None:
        """A caller's request was sent to an address that no replica ever had.

        Another program writes to the store under the prefix of the replicas. Its value resembled an
        entry, and every state other than "draining" or unknown was taken for ready.
        """
        needed = ("Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Seq")
        bad: list[object] = [
            {name: value for name, value in ENTRY.items() if name != left} for left in needed
        ]
        bad += [ENTRY | {name: None} for name in needed]
        bad += [
            ENTRY | {"State": "warming"},
            ENTRY | {"State": "READY"},
            ENTRY | {"Slots": "6"},
            ENTRY | {"Slots": 0},
            ENTRY | {"Slots": True},
            ENTRY | {"Slots": 10**9},
            ENTRY | {"Slots": 10**30},
            ENTRY | {"Seq": -1},
            ENTRY | {"born": 1.5},
            ENTRY | {"born": "1790000000000"},
            ENTRY | {"born": -4},
            ENTRY | {"Address": "somewhere:80"},
            ENTRY | {"Address": "10.1.0.9"},
            ENTRY | {"Address": "10.1.0.9:0"},
            ENTRY | {"Address": "10.1.0.900:80"},
            ENTRY | {"Address": ["10.1.0.9:8601"]},
            ENTRY | {"Service": ""},
            ENTRY | {"Service": {"Name": "a"}},
            ENTRY | {"group": {"Name": "g0", "epoch": 2, "rank": 3, "State": "melting"}},
            ENTRY | {"group": "g0"},
            [ENTRY],
            "ready",
            None,
        ]
        for entry in bad:
            with self.subTest(entry=entry), self.assertRaises(PlatformError) as caught:
                decode(entry)
            self.assertEqual(caught.exception.code, Code.PLATFORM_MALFORMED)

    def test_bytes_that_are_no_entry(self) -> None:
        twice = json.dumps(ENTRY).replace('"Seq": 4', '"Seq": 4, "Slots": 600').encode()
        nested = b'{"Service":' * 100_000
        for value in (b"", b"\xff\xfe", b"{", b"NaN", twice, nested, b"[" * 100_000):
            with self.subTest(value=value[:20]), self.assertRaises(PlatformError):
                decode_endpoint("servers/i-1", value)

    def test_key_that_could_not_stand_in_a_header(self) -> None:
        for key in ("servers/", "servers/a b", "servers/i\r\nX: 1", "servers/" + "i" * 200):
            with self.subTest(key=key), self.assertRaises(PlatformError):
                decode(ENTRY, key)

    @given(st.binary(max_size=200))
    def test_any_bytes(self, value: bytes) -> None:
        for read in (decode_route_table, lambda each: decode_endpoint("servers/i-1", each)):
            with self.assertRaises(PlatformError):
                read(value)

    @given(st.sampled_from(sorted(ENTRY)), GARBAGE)
    def test_any_value_in_any_field(self, name: str, value: object) -> None:
        try:
            found = decode(ENTRY | {name: value})
        except PlatformError:
            return
        self.assertEqual(found.incarnation.replica, "i-1")
        self.assertIn(found.state, EndpointState)
        self.assertGreater(found.places, 0)


def published(revision: int, *changes) -> Published:
    return Published(revision=Revision(0, revision), changes=changes)


class InTheView(unittest.TestCase):
    """How the fleet view of a gateway applies store entries."""

    def setUp(self) -> None:
        self.view = FleetView(ManualClock(100.0), 1.2)
        self.view.record_store_answer()
        self.take(3, TablePublished(table()), *map(EndpointPublished, self.two()))

    def two(self) -> list[Endpoint]:
        return [endpoint("i-1", born=1_000), endpoint("i-2", address="10.0.0.2:80")]

    def take(self, revision: int, *changes) -> None:
        self.view.extend(published(revision, *changes))

    def serving(self) -> set[str]:
        return {each.id for each in self.view.serving("llm")}

    def test_replica_that_starts_again_is_another_endpoint(self) -> None:
        """A healthy replica received no requests for seconds after a crash and restart.

        It restarted under the same id, and the interrupted answers, rejections and requests in
        flight recorded under that id were those of its previous lifetime.
        """
        self.take(4, EndpointPublished(endpoint("i-1", born=2_000)))
        self.assertEqual(self.serving(), {"i-1@2000", "i-2"})
        self.assertIsNone(self.view.endpoint("i-1@1000"))
        self.assertEqual(self.view.ids(), {"i-1@2000", "i-2"})

    def test_late_word_of_a_former_lifetime_changes_nothing(self) -> None:
        self.take(4, EndpointPublished(endpoint("i-1", born=2_000)))
        draining = endpoint("i-1", born=1_000, state=EndpointState.DRAINING)
        self.take(5, EndpointPublished(draining))
        self.assertEqual(self.serving(), {"i-1@2000", "i-2"})

    def test_clock_that_was_set_back_hides_no_replica_for_ever(self) -> None:
        """The VM's clock was set back before the replica restarted.

        The new lifetime seems older than the previous one; it counts once the previous entry is
        removed.
        """
        self.take(4, EndpointRemoved("i-1"), EndpointPublished(endpoint("i-1", born=400)))
        self.assertEqual(self.serving(), {"i-1@400", "i-2"})

    def test_replica_whose_clock_was_set_back_is_heard_when_it_goes_on(self) -> None:
        """A draining replica was sent requests for as long as it lived.

        Its clock was set back before it restarted, and its entry was never removed, so all its
        updates seemed to come from a previous lifetime.
        """
        draining = endpoint("i-1", born=400, state=EndpointState.DRAINING)
        self.take(4, EndpointPublished(draining))
        self.assertEqual(self.serving(), {"i-1@1000", "i-2"})
        for revision in (5, 6):
            self.take(revision, EndpointPublished(draining))
        self.assertEqual(self.serving(), {"i-2"})
        self.assertIsNone(self.view.endpoint("i-1@1000"))

    def test_lifetime_that_is_gone_does_not_hide_the_next(self) -> None:
        self.view.misdirected("i-1@1000")
        self.take(4, EndpointPublished(endpoint("i-1", born=1_000)))
        self.assertEqual(self.serving(), {"i-2"})
        self.take(5, EndpointPublished(endpoint("i-1", born=2_000)))
        self.assertEqual(self.serving(), {"i-1@2000", "i-2"})

    def test_entry_that_turns_unreadable_is_used_no_more_and_told_once(self) -> None:
        for revision in (4, 4, 5):
            self.take(revision, EndpointUnreadable("i-2", "Slots", Revision(0, revision)))
        self.assertEqual(self.serving(), {"i-1@1000"})
        self.assertEqual(self.view.unreadable_entries, 2)
        self.take(6, EndpointPublished(endpoint("i-2", address="10.0.0.2:80")))
        self.assertEqual(self.serving(), {"i-1@1000", "i-2"})

    def test_unreadable_entry_never_only_lapsed(self) -> None:
        self.view.distrust_removals(10.0)
        self.take(4, EndpointUnreadable("i-2", "Slots", Revision(0, 4)))
        self.view.replace(
            published(
                5,
                EndpointPublished(self.two()[0]),
                EndpointUnreadable("i-2", "Slots", Revision(0, 4)),
            )
        )
        self.assertEqual(self.serving(), {"i-1@1000"})

    def test_service_that_nobody_named_takes_no_address_over(self) -> None:
        """All requests of a service were rejected although its replicas were available.

        An entry of another program had their address, a different service and a later creation
        revision.
        """
        foreign = endpoint("x-1", service="else", address="10.0.0.2:80", registered=Revision(0, 9))
        self.take(4, EndpointPublished(foreign))
        self.assertEqual(self.serving(), {"i-1@1000", "i-2"})


class Counters(unittest.TestCase):
    """Counters of a restarted rank."""

    def test_counts_that_began_anew_are_no_growth(self) -> None:
        meter = GrowthMeter()
        meter.measure(RankCounts(epoch=1, step=5, counts=(10, 10), born=1))
        growth = meter.measure(RankCounts(epoch=1, step=9, counts=(900, 10), born=2))
        self.assertEqual(growth.unit, 0.0)


if __name__ == "__main__":
    unittest.main()
