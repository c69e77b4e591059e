"""Tests of the choice of watchers of the platform's service, and of failing watches."""

import random
import unittest
from collections import Counter

import anyio

from benchmarks.fleet_fakes import FakeNetwork, FakeService, PlainAcceptor
from benchmarks.virtual_time import LoopClock, run
from carawayhub.fleet.manifest import Manifest, VersionId
from carawayhub.fleet.start import Startup
from carawayhub.fleet.sync import ConfigSync
from carawayhub.fleet.vmsync import VmListSync
from carawayhub.fleet.watchers import Candidate, PlatformWatcher, choose_watchers
from carawayhub.platform.ports import ListedVm, VmList, VmState

ONE = {"10-entries.json": b"{}"}


class Process:
    """A process with its ConfigSync, watcher and startup."""

    def __init__(self, name: str, network: FakeNetwork, service: FakeService) -> None:
        self.name = name
        self.clock = LoopClock()
        self.sync = ConfigSync(
            network.calls_of(name), PlainAcceptor(), self.clock, random.Random(name)
        )
        network.syncs[name] = self.sync
        self.watcher = PlatformWatcher(
            name, self.sync, service.reader(name), self.clock, random.Random(name)
        )

    def starting(self, *peers: str) -> Startup:
        return Startup(self.sync, self.watcher, lambda: frozenset(peers), self.clock)


class ChoiceTest(unittest.TestCase):
    """The choice of the processes that watch."""

    def test_a_few_in_each_domain_and_the_next_when_one_is_down(self) -> None:
        candidates = [Candidate(f"entry-{n}", f"domain-{n % 16}") for n in range(780)]
        chosen = choose_watchers(candidates)
        per_domain = Counter(int(name.split("-")[1]) % 16 for name in chosen)
        self.assertEqual(set(per_domain.values()), {3})
        down = frozenset(sorted(chosen)[:1])
        after = choose_watchers(candidates, down)
        self.assertEqual(len(after), len(chosen))
        self.assertEqual(len(chosen - after), 1)

    def test_agents_watch_before_entries_where_there_are_any(self) -> None:
        candidates = [Candidate(f"entry-{n}", "x") for n in range(4)]
        candidates += [Candidate(f"agent-{n}", "x", has_spare_capacity=True) for n in range(2)]
        chosen = choose_watchers(candidates)
        self.assertLess({"agent-0", "agent-1"}, chosen)
        self.assertEqual(len(chosen), 3)


class WatchTest(unittest.TestCase):
    """One watching process."""

    def test_a_silent_watch_is_replaced(self) -> None:
        """Guards against missing all changes although the service is healthy.

        A firewall dropped the state of the watch's connection: neither a response nor an error will
        arrive. The version published meanwhile must be received over a new connection.
        """

        async def scenario() -> None:
            service, process = watching()
            service.publish(1, ONE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(process.watcher.run)
                await anyio.sleep(1)
                service.silent = 1
                await anyio.sleep(8)
                service.publish(2, {"x.json": b"2"})
                await anyio.sleep(12)
                self.assertEqual(process.sync.in_force.version, 2)
                tasks.cancel_scope.cancel()

        run(scenario)

    def test_a_service_that_answers_with_nothing_new_is_not_hammered(self) -> None:
        """Guards against one reader using up the read budget of the complete fleet.

        A stale service serves version 1 to a process that has 5 in force, and answers each watch at
        once, because its version differs from the requested one.
        """

        async def scenario() -> None:
            service, process = watching()
            service.publish(1, ONE)
            manifest = Manifest(VersionId(1, "00"), {})
            process.sync._history.advance(Manifest(VersionId(5, "05"), {}))
            self.assertFalse(process.sync.record_published(manifest))
            reader = process.watcher.service

            class AnswersAtOnce:
                async def manifest(self, after: int, wait: float) -> object:
                    return await service.manifest("a", 0, 0)

                file = reader.file

            reader._service = AnswersAtOnce()  # type: ignore[assignment]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(process.watcher.run)
                await anyio.sleep(60)
                tasks.cancel_scope.cancel()
            self.assertLess(service.calls["a"], 61)
            self.assertEqual(process.sync.in_force.version, 5)

        run(scenario)

    def test_a_service_that_is_down_is_asked_ever_more_seldom(self) -> None:
        async def scenario() -> None:
            service, process = watching()
            service.down = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(process.watcher.run)
                await anyio.sleep(300)
                self.assertLess(service.calls["a"], 60)
                service.down = False
                service.publish(1, ONE)
                await anyio.sleep(31)
                self.assertEqual(process.sync.in_force.version, 1)
                tasks.cancel_scope.cancel()

        run(scenario)

    def test_one_that_hears_of_no_watcher_reads_for_itself(self) -> None:
        """Guards against an isolated rack staying at an old version with the service reachable.

        None of the chosen watchers is in the rack, so no change is received from a peer.
        """

        async def scenario() -> None:
            service, process = watching(chosen=False)
            service.publish(1, ONE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(process.watcher.run)
                process.sync.record_service_response()
                await anyio.sleep(15)
                self.assertEqual(service.calls["a"], 0)
                await anyio.sleep(75)
                self.assertEqual(process.sync.in_force.version, 1)
                tasks.cancel_scope.cancel()

        run(scenario)


class StartTest(unittest.TestCase):
    """Conditions for a starting process to become ready."""

    def test_it_is_ready_with_the_newest_of_peers_and_service(self) -> None:
        """Guards against a replaced entry using an old configuration for its first seconds.

        The service is stale. The peer that has the newer version answers only after the service.
        """

        async def scenario() -> None:
            service, old = watching()
            service.publish(1, ONE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(old.watcher.run)
                await anyio.sleep(1)
                before = dict(service.files)
                service.publish(2, {"x.json": b"2"})
                await anyio.sleep(1)
                service.serve(1, before)
                new = Process("b", NETWORKS[-1], service)
                new.watcher.update([Candidate("b", "x")])
                tasks.start_soon(new.sync.run)
                tasks.start_soon(new.watcher.run)
                tasks.start_soon(self._send_version_later, new, old)
                report = await new.starting("a", "c").run()
                self.assertEqual(report.in_force.version, 2)
                self.assertEqual(report.answered, ("a",))
                self.assertEqual(report.unreached, ("c",))
                tasks.cancel_scope.cancel()

        run(scenario)

    def test_it_is_not_ready_before_any_peer_answered(self) -> None:
        async def scenario() -> None:
            service, process = watching()
            service.publish(1, ONE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(process.watcher.run)
                start = process.starting("b")
                with anyio.move_on_after(120) as scope:
                    await start.run()
                self.assertTrue(scope.cancelled_caught)
                self.assertEqual(start.report().unreached, ("b",))
                process.sync.record_peer_version("b", VersionId())
                await start.run()
                tasks.cancel_scope.cancel()

        run(scenario)

    def test_a_failure_domain_that_restarts_reads_few_files(self) -> None:
        """Guards against overloading the service after a power cut in one failure domain.

        Forty processes start at once, none knows the others, and each considers itself the watcher.
        Peers in other domains have all files; their links are established a second later.
        """

        async def scenario() -> None:
            service, old = watching()
            service.publish(1, {f"{number}.json": bytes([number]) for number in range(200)})
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(old.watcher.run)
                await until_in_force(old, 1)
                service.forget_reads()
                fresh = [Process(f"new-{number}", NETWORKS[-1], service) for number in range(40)]
                for process in fresh:
                    process.watcher.update([Candidate(process.name, "x")], fleet_size=400)
                    tasks.start_soon(process.sync.run)
                    tasks.start_soon(process.watcher.run)
                await anyio.sleep(1)
                for process in fresh:
                    process.sync.record_peer_version("a", old.sync.in_force)
                for process in fresh:
                    await until_in_force(process, 1)
                self.assertEqual(service.file_calls.total(), 0)
                self.assertLess(service.peak(), 120)
                tasks.cancel_scope.cancel()

        run(scenario)

    def test_with_the_service_down_peers_suffice(self) -> None:
        async def scenario() -> None:
            service, old = watching()
            service.publish(1, ONE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(old.watcher.run)
                await anyio.sleep(1)
                service.down = True
                new = Process("b", NETWORKS[-1], service)
                tasks.start_soon(new.sync.run)
                new.sync.record_peer_version("a", old.sync.in_force)
                report = await new.starting("a").run()
                self.assertEqual(report.in_force.version, 1)
                self.assertFalse(report.service_answered)
                tasks.cancel_scope.cancel()

        run(scenario)

    async def _send_version_later(self, new: Process, old: Process) -> None:
        await anyio.sleep(3)
        new.sync.record_peer_version("a", old.sync.in_force)


class VmListTest(unittest.TestCase):
    """Distribution of the VM list between two processes."""

    def test_a_change_reaches_a_peer_and_an_old_list_does_not(self) -> None:
        async def scenario() -> None:
            network = FakeNetwork(LoopClock())
            syncs = {name: self._sync(network, name) for name in "ab"}
            network.syncs = syncs  # type: ignore[assignment]
            syncs["a"].apply(listing(1, "vm-1", "vm-2"))
            syncs["a"].apply(listing(3, "vm-1", "vm-3", leaving="vm-1"))
            syncs["a"].apply(listing(2, "vm-2"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(syncs["b"].run)
                syncs["b"].apply(listing(1, "vm-1", "vm-2"))
                syncs["b"].record_peer_list_number("a", syncs["a"].number)
                await syncs["b"].changed.wait()
                tasks.cancel_scope.cancel()
            current = syncs["b"].current
            assert current is not None
            states = {vm.name: vm.state for vm in current.vms}
            self.assertEqual(states, {"vm-1": VmState.LEAVING, "vm-3": VmState.LIVE})

        run(scenario)

    def _sync(self, network: FakeNetwork, name: str) -> VmListSync:
        class NoDirectory:
            async def vms(self, after: int, wait: float) -> VmList:
                raise AssertionError("nothing here reads the platform")

        return VmListSync(
            network.calls_of(name), NoDirectory(), lambda: False, LoopClock(), random.Random(1)
        )


NETWORKS: list[FakeNetwork] = []


def watching(chosen: bool = True) -> tuple[FakeService, Process]:
    clock = LoopClock()
    NETWORKS[:] = [FakeNetwork(clock)]
    service = FakeService(clock)
    process = Process("a", NETWORKS[-1], service)
    process.watcher.update([Candidate("a" if chosen else "other", "x")])
    return service, process


async def until_in_force(process: Process, version: int) -> None:
    with anyio.fail_after(600):
        while process.sync.in_force.version < version:
            await anyio.sleep(0.05)


def listing(number: int, *names: str, leaving: str = "") -> VmList:
    states = {True: VmState.LEAVING, False: VmState.LIVE}
    return VmList(
        number=number,
        vms=tuple(
            ListedVm(name=name, state=states[name == leaving], failure_domain="x") for name in names
        ),
    )
