"""Tests of gossip among 98 entries in five failure domains, in virtual time."""

import random
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from benchmarks.virtual_time import LoopClock, VirtualTimeLoop
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.hello import News, Phase
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.telling import OwnAddress, Part
from carawayhub.limits.poison import PoisonRecords
from tests.gateway_world import rates

DOMAINS = 5
ENTRIES = 98
DELAY = 0.002
LIVE = (Phase.READY, Phase.STARTING)


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class Fleet:
    """Entries connected by a network that may lose datagrams."""

    def __init__(self, entries: int, seed: int = 1, loss_rate: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss_rate = loss_rate
        self.cross_domain_bytes = 0
        self.sent: Counter[str] = Counter()
        self.cut: set[str] = set()
        self.entries: dict[str, Gossip] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.tasks: anyio.abc.TaskGroup | None = None
        self.ips = [f"10.{at % DOMAINS + 1}.0.{at // DOMAINS + 10}" for at in range(entries)]
        self.seeds = frozenset(self.ips[:3])

    def start(self, ip: str) -> None:
        """Start an entry that knows only the seeds."""
        domain = ip.split(".")[1]
        address = OwnAddress(ip=ip, port=1, callers=f"{ip}:80", failure_domain=domain)
        rng = random.Random(self.rng.random())
        entry = self.entries[ip] = Gossip(
            address,
            self.seeds,
            Loads(),
            PoisonRecords(LoopClock()),
            rates(LoopClock()),
            LoopClock(),
            rng,
        )
        scope = self.scopes[ip] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await anyio.sleep(self.rng.uniform(0.0, 0.3))
                entry.set_phase(Phase.READY)
                await entry.send_rounds(lambda to, data: self.transmit(ip, to, data))

        assert self.tasks is not None
        self.tasks.start_soon(run)

    def kill(self, ip: str) -> None:
        """Stop an entry without announcing it."""
        self.scopes[ip].cancel()
        del self.entries[ip]

    async def transmit(self, ip: str, to: str, data: bytes) -> None:
        self.sent[ip] += 1
        if ip.split(".")[1] != to.split(".")[1]:
            self.cross_domain_bytes += len(data)
        if self.rng.random() >= self.loss_rate and not {ip, to} & self.cut:
            assert self.tasks is not None
            self.tasks.start_soon(self._arrive, to, data)

    async def _arrive(self, to: str, data: bytes) -> None:
        await anyio.sleep(DELAY)
        entry = self.entries.get(to)
        received = entry.read(data) if entry is not None else None
        if entry is not None and received is not None:
            entry.take(received)

    def known(self, entry: Gossip) -> set[str]:
        """Return the addresses that an entry would announce to callers."""
        return {each.ip for each in entry.entries(Phase.READY)} | {entry.own.address.ip}

    def all_agree(self) -> bool:
        """Return whether each entry knows exactly the running entries."""
        live = set(self.entries)
        return all(self.known(each) == live for each in self.entries.values())

    def totals(self, endpoint: str) -> set[int]:
        """Return the distinct request counts that entries have for an endpoint."""
        return {each._loads.total(endpoint).requests for each in self.entries.values()}


async def until(condition: Callable[[], bool], seconds: float) -> float:
    """Wait until a condition is true; return the elapsed seconds."""
    began_at = anyio.current_time()
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.03)
    return anyio.current_time() - began_at


def run_scenario(fleet: Fleet, scenario: Callable[[], Awaitable[None]]) -> None:
    """Start all entries, and run a scenario once they know each other."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet.tasks = tasks
            for ip in fleet.ips:
                fleet.start(ip)
            await until(fleet.all_agree, 4.0)
            await anyio.sleep(1.5)
            await scenario()
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})


class LargeFleet(unittest.TestCase):
    """A large fleet, in which delegates report for their failure domains."""

    def test_each_request_is_counted_once_and_known_in_less_than_half_a_second(self) -> None:
        """In a full mesh of 98 entries, load information was 0.65 s old."""
        fleet = Fleet(ENTRIES)

        async def scenario() -> None:
            for entry in fleet.entries.values():
                entry._loads.begin("i-1", Work(1, 500, 800))
            await until(lambda: fleet.totals("i-1") == {ENTRIES}, 0.5)
            for entry in fleet.entries.values():
                entry._loads.end("i-1", Work(1, 500, 800))
            await until(lambda: fleet.totals("i-1") == {0}, 0.5)

        run_scenario(fleet, scenario)

    def test_datagrams_grow_with_entries_and_few_bytes_cross_failure_domains(self) -> None:
        """Guards against 225 MB across failure domains in 50 s (4.5 MB/s), nearly all gossip."""
        fleet = Fleet(ENTRIES)

        async def scenario() -> None:
            for at, entry in enumerate(fleet.entries.values()):
                for each in range(6):
                    entry._loads.begin(f"i-{(6 * at + each) % 192}", Work(1, 500, 800))
            await anyio.sleep(1.0)
            fleet.cross_domain_bytes = 0
            fleet.sent.clear()
            await anyio.sleep(5.0)
            self.assertLess(fleet.cross_domain_bytes / 5.0, 450_000)
            self.assertLess(sum(fleet.sent.values()) / 5.0 / ENTRIES, 60)
            self.assertLess(max(fleet.sent.values()) / 5.0, 300)

        run_scenario(fleet, scenario)

    def test_lost_delegate_is_replaced_and_named_no_more(self) -> None:
        """After a delegate crashes, callers that get its address lose a second."""
        fleet = Fleet(ENTRIES)

        async def scenario() -> None:
            other = next(iter(fleet.entries["10.2.0.10"].entries(Phase.READY)))
            fleet.kill("10.1.0.10")
            elapsed = await until(fleet.all_agree, 3.0)
            self.assertLess(elapsed, 1.6)
            fleet.entries["10.1.0.11"]._loads.begin("i-2", Work(3, 0, 900))
            await until(lambda: fleet.totals("i-2") == {3}, 1.0)
            self.assertIsNotNone(other)

        run_scenario(fleet, scenario)

    def test_entry_that_leaves_is_out_of_all_directories_at_once(self) -> None:
        fleet = Fleet(ENTRIES)

        async def scenario() -> None:
            for ip in ("10.3.0.14", "10.1.0.10"):
                fleet.entries[ip].set_phase(Phase.LEAVING)
                left = fleet.entries[ip]
                del fleet.entries[ip]
                elapsed = await until(
                    lambda ip=ip: not any(ip in fleet.known(e) for e in fleet.entries.values()),
                    2.0,
                )
                self.assertLess(elapsed, 0.5)
                fleet.entries[ip] = left
                left.set_phase(Phase.READY)
                await until(fleet.all_agree, 2.0)

        run_scenario(fleet, scenario)

    def test_all_find_each_other_again_after_a_cut_and_after_a_loss_of_power(self) -> None:
        """All delegates are partitioned for three seconds; later half of the entries restart."""
        fleet = Fleet(ENTRIES, loss_rate=0.02)

        async def scenario() -> None:
            fleet.cut = {f"10.{domain + 1}.0.10" for domain in range(DOMAINS)}
            await anyio.sleep(3.0)
            fleet.cut = set()
            await until(fleet.all_agree, 4.0)
            for ip in fleet.ips[::2]:
                fleet.kill(ip)
                fleet.start(ip)
            await until(fleet.all_agree, 4.0)
            await anyio.sleep(1.2)
            self.assertEqual({each.settled_entries() for each in fleet.entries.values()}, {98})

        run_scenario(fleet, scenario)

    def test_proofs_reach_all_by_way_of_delegates_and_are_never_too_young(self) -> None:
        """After a key is revoked, no entry may consider its view newer than it is."""
        fleet = Fleet(ENTRIES)
        proved: dict[str, float] = {}

        async def scenario() -> None:
            reader = fleet.entries["10.1.0.10"]
            began_at = anyio.current_time()
            newest = dict.fromkeys(fleet.entries, began_at - 9.0)
            for ip, entry in fleet.entries.items():

                def news(ip: str = ip) -> News:
                    return News(7, anyio.current_time() - newest[ip], 0.0)

                def take(update: News, at: float, peer: str, ip: str = ip) -> None:
                    newest[ip] = max(newest[ip], at)
                    proved[ip] = newest[ip]
                    self.assertLessEqual(at, began_at)

                entry.own.news = news
                entry.on_news = take
            newest[reader.own.address.ip] = began_at
            reader.send_soon()
            await until(lambda: min(newest.values()) > began_at - 0.7, 1.5)

        run_scenario(fleet, scenario)

    def test_small_fleet_tells_all_directly(self) -> None:
        fleet = Fleet(9)

        async def scenario() -> None:
            parts = {each._builder.part for each in fleet.entries.values()}
            self.assertEqual(parts, {Part.EQUAL})
            fleet.entries["10.1.0.10"]._loads.begin("i-1", Work(1, 0, 800))
            self.assertLess(await until(lambda: fleet.totals("i-1") == {1}, 0.5), 0.15)

        run_scenario(fleet, scenario)


if __name__ == "__main__":
    unittest.main()
