"""Tests that a process reaches the newest configuration and never returns to an older one."""

import random
import unittest
from collections.abc import Awaitable, Callable

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.fleet_fakes import BAD, FakeNetwork, FakeService, PlainAcceptor, digest_of
from benchmarks.virtual_time import LoopClock, run
from carawayhub.errors import PeerError
from carawayhub.fleet.compression import pack, unpack
from carawayhub.fleet.events import (
    FetchFailed,
    ServiceStale,
    SyncEvent,
    VersionConflict,
    VersionRefused,
)
from carawayhub.fleet.manifest import History, Manifest, VersionId, difference, manifest_digest
from carawayhub.fleet.messages import CONTENT_BYTES, MAX_MESSAGE_BYTES, Document, ManifestRequest
from carawayhub.fleet.sync import ConfigSync

ONE = {"10-entries.json": b"{}", "20-groups.json": b"[]"}
FILES = st.dictionaries(st.sampled_from("abcdef"), st.sampled_from(["11", "22", "33"]))


class Fleet:
    """The processes of one test, by name, each with its own ConfigSync."""

    def __init__(self, *names: str) -> None:
        self.clock = LoopClock()
        self.network = FakeNetwork(self.clock)
        self.service = FakeService(self.clock)
        self.events: dict[str, list[SyncEvent]] = {}
        self.acceptors: dict[str, PlainAcceptor] = {}
        for name in names:
            self.add(name)

    def add(self, name: str) -> ConfigSync:
        self.events[name] = []
        self.acceptors[name] = PlainAcceptor()
        peers = self.network.calls_of(name)
        sync = ConfigSync(
            peers, self.acceptors[name], self.clock, random.Random(7), self.events[name].append
        )
        self.network.syncs[name] = sync
        return sync

    def __getitem__(self, name: str) -> ConfigSync:
        return self.network.syncs[name]

    async def publish_at(self, name: str, version: int, files: dict[str, bytes]) -> None:
        self.service.publish(version, files)
        await self.read(name)

    async def read(self, name: str) -> None:
        reader = self.service.reader(name)
        served = await reader.manifest(0, 0)
        await self[name].apply_published(Manifest.of(served.version, served.files), reader)

    def send_version(self, sender: str, receiver: str) -> None:
        self[receiver].record_peer_version(sender, self[sender].in_force)

    def events_of(self, name: str, kind: type) -> list[SyncEvent]:
        return [event for event in self.events[name] if isinstance(event, kind)]

    async def running(self, *names: str, then: Callable[[], Awaitable[None]]) -> None:
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(self[name].run)
            await then()
            tasks.cancel_scope.cancel()


class SyncTest(unittest.TestCase):
    """How a process handles each version that it receives."""

    def test_a_change_crosses_as_one_small_file(self) -> None:
        async def scenario() -> None:
            fleet = Fleet("a", "b")
            large = {f"{number:03}.json": bytes([number]) * 5_000 for number in range(200)}
            await fleet.publish_at("a", 1, large)

            async def steps() -> None:
                fleet.send_version("a", "b")
                await until(lambda: fleet["b"].in_force.version == 1)
                before = fleet.network.traffic["b"].bytes
                await fleet.publish_at("a", 2, {"200.json": b"{}"})
                fleet.send_version("a", "b")
                await until(lambda: fleet["b"].in_force.version == 2)
                self.assertLess(fleet.network.traffic["b"].bytes - before, 1_000)

            await fleet.running("b", then=steps)
            self.assertEqual(fleet["b"].in_force, fleet["a"].in_force)

        run(scenario)

    def test_a_file_of_a_megabyte_crosses_in_bounded_messages(self) -> None:
        async def scenario() -> None:
            fleet = Fleet("a", "b")
            await fleet.publish_at("a", 1, {"x.json": noise(1_000_000), "y.json": noise(90_000)})

            async def steps() -> None:
                fleet.send_version("a", "b")
                await until(lambda: fleet["b"].in_force.version == 1)

            await fleet.running("b", then=steps)
            self.assertEqual(fleet["b"].in_force, fleet["a"].in_force)
            self.assertGreater(fleet.network.largest, CONTENT_BYTES)
            self.assertGreater(fleet.network.traffic["b"].bytes, 1_090_000)
            self.assertLess(fleet.network.largest, MAX_MESSAGE_BYTES)

        run(scenario)

    def test_a_stale_service_brings_nothing_back(self) -> None:
        """Guards against reverting an operator's change minutes after it came into force.

        The service fails over to a lagging copy and serves version 1 after version 2. A process
        that accepted it would put version 1 back in force.
        """

        async def scenario() -> None:
            fleet = Fleet("a")
            await fleet.publish_at("a", 1, ONE)
            old = dict(fleet.service.files)
            await fleet.publish_at("a", 2, {"30-new.json": b"{}"})
            fleet.service.serve(1, old)
            await fleet.read("a")
            await fleet.read("a")
            self.assertEqual(fleet.acceptors["a"].versions, [1, 2])
            self.assertEqual(len(fleet.events_of("a", ServiceStale)), 1)

        run(scenario)

    def test_a_restarted_process_takes_the_newest_from_peers(self) -> None:
        """Guards against a replaced entry serving an older configuration than its neighbours.

        The service serves version 1 while the fleet has version 2 in force. The new process reads
        the service first and receives a peer's version later.
        """

        async def scenario() -> None:
            fleet = Fleet("a", "b")
            await fleet.publish_at("a", 1, ONE)
            old = dict(fleet.service.files)
            await fleet.publish_at("a", 2, {"30-new.json": b"{}"})
            fleet.service.serve(1, old)

            async def steps() -> None:
                await fleet.read("b")
                fleet.send_version("a", "b")
                await until(lambda: fleet["b"].in_force.version == 2)
                await fleet.read("b")

            await fleet.running("b", then=steps)
            self.assertEqual(fleet["b"].in_force, fleet["a"].in_force)

        run(scenario)

    def test_a_healed_partition_ends_at_the_newest_version(self) -> None:
        """Guards against the older version winning after a partition between two regions heals.

        One side received versions 2 and 3, the other only 1. After the partition each announces
        its version to the other.
        """

        async def scenario() -> None:
            fleet = Fleet("a", "b")
            await fleet.publish_at("a", 1, ONE)
            await fleet.publish_at("b", 1, ONE)
            await fleet.publish_at("a", 2, {"30-new.json": b"{}"})
            await fleet.publish_at("a", 3, {"10-entries.json": b"{ }"})

            async def steps() -> None:
                fleet.send_version("b", "a")
                fleet.send_version("a", "b")
                await until(lambda: fleet["b"].in_force.version == 3)

            await fleet.running("a", "b", then=steps)
            self.assertEqual(fleet.acceptors["a"].versions, [1, 2, 3])
            self.assertEqual(fleet.acceptors["b"].versions, [1, 3])

        run(scenario)

    def test_a_refused_version_is_fetched_and_checked_once(self) -> None:
        """Guards against fetching and checking a refused version again and again.

        A bad file stays published until an operator corrects it. Each read of the service and each
        heartbeat of a peer would otherwise fetch and check it.
        """

        async def scenario() -> None:
            fleet = Fleet("a")
            await fleet.publish_at("a", 1, ONE)
            await fleet.publish_at("a", 2, {"30-bad.json": BAD})
            for _ in range(5):
                await fleet.read("a")
            self.assertEqual(fleet["a"].in_force.version, 1)
            self.assertEqual(fleet.acceptors["a"].checked, 2)
            self.assertEqual(len(fleet.events_of("a", VersionRefused)), 1)
            self.assertEqual(fleet["a"].newest_known().version, 1)
            await fleet.publish_at("a", 3, {"30-bad.json": b"{}"})
            self.assertEqual(fleet["a"].in_force.version, 3)

        run(scenario)

    def test_one_number_with_two_contents_is_reported_and_settled(self) -> None:
        """Guards against a fleet split between two contents with the same version number.

        Two operators publish version 2 at once, and the service returns each to some readers.
        Without a rule both contents would stay until the next version. The conflict is reported,
        and all processes end with the content of the greater digest.
        """

        async def scenario() -> None:
            fleet = Fleet("a", "b")
            await fleet.publish_at("a", 2, {"x.json": b"1"})
            fleet.service.serve(0, {})
            await fleet.publish_at("b", 2, {"x.json": b"2"})

            async def steps() -> None:
                fleet.send_version("a", "b")
                fleet.send_version("b", "a")
                await until(lambda: fleet["a"].in_force == fleet["b"].in_force)

            await fleet.running("a", "b", then=steps)
            digests = [manifest_digest({"x.json": digest_of(text)}) for text in (b"1", b"2")]
            self.assertEqual(fleet["a"].in_force, VersionId(2, max(digests)))
            self.assertTrue(fleet.events_of("a", VersionConflict))
            self.assertTrue(fleet.events_of("b", VersionConflict))

        run(scenario)

    def test_a_peer_that_does_not_answer_is_left_for_another(self) -> None:
        async def scenario() -> None:
            fleet = Fleet("a", "b", "c")
            await fleet.publish_at("a", 1, ONE)
            await fleet.publish_at("c", 1, ONE)
            fleet.network.unreachable.add("a")

            async def steps() -> None:
                fleet.send_version("a", "b")
                await until(lambda: bool(fleet.events_of("b", FetchFailed)))
                fleet.send_version("c", "b")
                await until(lambda: fleet["b"].in_force.version == 1)

            await fleet.running("b", then=steps)

        run(scenario)

    def test_a_slow_read_of_the_service_does_not_hold_up_peers(self) -> None:
        """Guards against a process lagging by minutes because it reads slowly from the service.

        It reads many files within a small read budget, although a peer has all of them.
        """

        async def scenario() -> None:
            fleet = Fleet("a", "b")
            many = {f"{number}.json": bytes([number]) for number in range(200)}
            await fleet.publish_at("a", 1, many)
            reader = fleet.service.reader("b")

            class Slow:
                async def file(self, digest: str) -> bytes:
                    await anyio.sleep(10)
                    return await reader.file(digest)

            async def steps() -> None:
                async with anyio.create_task_group() as tasks:
                    manifest = Manifest.of(1, fleet.service.files)
                    tasks.start_soon(fleet["b"].apply_published, manifest, Slow())
                    await anyio.sleep(1)
                    fleet.send_version("a", "b")
                    await until(lambda: fleet["b"].in_force.version == 1)
                    self.assertLess(fleet.clock.monotonic(), 15)

            await fleet.running("b", then=steps)

        run(scenario)


class CompressionTest(unittest.TestCase):
    """Limits on decompressing damaged or hostile contents."""

    def test_a_content_that_swells_is_refused(self) -> None:
        self.assertEqual(unpack(pack(bytes(CONTENT_BYTES)), CONTENT_BYTES), bytes(CONTENT_BYTES))
        for packed in (pack(bytes(CONTENT_BYTES + 1)), pack(b"abc")[:-5], b"plain"):
            with self.assertRaises(PeerError):
                unpack(packed, CONTENT_BYTES)


class HistoryTest(unittest.TestCase):
    """Deltas between versions in the history."""

    @settings(derandomize=True, max_examples=150)
    @given(st.lists(FILES, min_size=1, max_size=8), st.integers(0, 7))
    def test_a_delta_from_any_remembered_version_leads_to_the_newest(
        self, versions: list[dict[str, str]], start: int
    ) -> None:
        history = History()
        manifests = [Manifest.of(number + 1, files) for number, files in enumerate(versions)]
        for manifest in manifests:
            history.advance(manifest)
        base = manifests[min(start, len(manifests) - 1)]
        delta = history.since(base.id)
        assert delta is not None
        self.assertEqual(delta.apply(base.files), manifests[-1].files)
        direct = difference(base.files, manifests[-1].files)
        self.assertEqual(direct.apply(base.files), manifests[-1].files)

    def test_an_unknown_base_gets_the_whole_manifest(self) -> None:
        async def scenario() -> None:
            fleet = Fleet("a")
            await fleet.publish_at("a", 1, ONE)
            req = ManifestRequest(
                document=Document.CONFIGURATION, base_version=9, base_digest="other"
            )
            reply = fleet["a"].manifest(req)
            self.assertEqual(reply.base_version, 0)
            self.assertEqual(dict(reply.changed), dict(fleet.service.files))

        run(scenario)


def noise(size: int) -> bytes:
    return random.Random(size).randbytes(size)


async def until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(600):
        while not condition():
            await anyio.sleep(0.05)
