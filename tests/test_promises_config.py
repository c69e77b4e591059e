"""An accepted configuration is in force everywhere and never goes back to an older one."""

import anyio

from carawayhub.clock import SystemClock
from carawayhub.standins.checker import Evidence, VersionSample, check
from carawayhub.standins.faults import LinkFault, PlatformFault
from carawayhub.standins.fleet import to_json
from carawayhub.standins.fleetshape import FleetShape
from tests.stories import FleetTestCase, publish_everywhere, until

STEP = "60-story.json"
OLD_SERVED_S = 3.0
SILENCE = LinkFault(silent_to_target=True, silent_to_client=True)


def _step(seconds: int) -> bytes:
    return to_json({"fleet": {"request_deadline_s": seconds}})


class ConfigurationTest(FleetTestCase):
    """Versions through a stale service, restarts, an outage, a partition and a bad file."""

    shape = FleetShape(failure_domains=("attica", "patra"), entries=2, engines=2, services=0)

    async def versions(self) -> dict[str, int]:
        """Return the version in force at each daemon."""
        return {node: (await self.fleet.status(node))["version"] for node in self.fleet.daemons}

    async def sample(self, samples: list[VersionSample], seconds: float) -> None:
        """Note for a while what is in force."""
        with anyio.move_on_after(seconds):
            while True:
                for node, version in (await self.versions()).items():
                    samples.append(VersionSample(node, SystemClock().monotonic(), version))
                await anyio.sleep(0.1)

    async def test_old_version_of_the_service_is_not_taken(self) -> None:
        """A replica of the configuration service falls back and serves what held before.

        What operators changed since must stay in force at every process.
        """
        old = self.fleet.platform.manifest().version
        new = await publish_everywhere(self.fleet, STEP, _step(31))
        self.fleet.platform.set_fault(PlatformFault(stale_version=old))
        self.fleet.proxy.links["platform"].cut_open()
        samples: list[VersionSample] = []
        await self.sample(samples, OLD_SERVED_S)
        self.assertEqual(check(Evidence(versions=samples)).findings, [])
        self.assertEqual({sample.version for sample in samples}, {new})

    async def test_process_that_restarts_while_the_service_is_stale_takes_the_newest(self) -> None:
        """An entry's VM is replaced while the service serves an old version.

        The new process remembers nothing. It must ask its peers before it serves anybody, and
        take the newer version that they have.
        """
        entry = self.entries[0]
        old = self.fleet.platform.manifest().version
        new = await publish_everywhere(self.fleet, STEP, _step(32))
        self.fleet.platform.set_fault(PlatformFault(stale_version=old))
        self.fleet.daemons[entry].kill()
        self.fleet.daemons[entry].start()
        await self.fleet.wait_until_ready(entry)
        self.assertEqual((await self.fleet.status(entry))["version"], new)

    async def test_process_starts_while_the_service_is_down(self) -> None:
        """An entry's VM is replaced during an outage of the configuration service.

        Its peers hand it the version in force, content and all, and it serves.
        """
        entry = self.entries[1]
        new = await publish_everywhere(self.fleet, STEP, _step(33))
        self.fleet.platform.set_fault(PlatformFault(down=True))
        self.fleet.daemons[entry].kill()
        self.fleet.daemons[entry].start()
        await self.fleet.wait_until_ready(entry)
        self.assertEqual((await self.fleet.status(entry))["version"], new)

    async def test_sides_of_a_healed_partition_end_at_the_newest(self) -> None:
        """Two failure domains lose each other, and one of them loses the service as well.

        A version comes into force on the other side only. After the partition all must have it,
        and nobody may hand the old one back to those that are ahead.
        """
        before = self.fleet.platform.manifest().version
        plan = self.fleet.plan
        plan.partition(self.fleet.proxy, ["attica"], ["patra"])
        for each in plan.nodes:
            if each.failure_domain == "patra":
                self.fleet.proxy.links["platform"].state.set_fault(SILENCE, each.inner)
        ahead = [node.name for node in plan.nodes if node.failure_domain == "attica"]
        behind = [node.name for node in plan.nodes if node.failure_domain == "patra"]
        new = await publish_everywhere(self.fleet, STEP, _step(34), nodes=ahead)
        for node in behind:
            self.assertEqual((await self.fleet.status(node))["version"], before)
        plan.heal(self.fleet.proxy)
        samples: list[VersionSample] = []
        await self.sample(samples, 1.0)
        for node in self.fleet.daemons:
            await self.fleet.wait_for_version(node, new)
        await self.sample(samples, 0.5)
        self.assertEqual(check(Evidence(versions=samples)).findings, [])

    async def test_bad_version_is_refused_everywhere(self) -> None:
        """An operator drops in a file with a wrong key.

        Each process must refuse the whole version and say which file, line and key it is; the
        version before stays in force, and the next good one is taken.
        """
        good = self.fleet.platform.manifest().version
        bad = self.fleet.publish(STEP, b'{"fleet": {"request_deadlines": 1}}')
        for node in self.fleet.daemons:
            await until(lambda name=node: self.refuses(name, bad), f"{node} refuses {bad}")
        self.assertEqual(set((await self.versions()).values()), {good})
        await publish_everywhere(self.fleet, STEP, _step(35))

    async def refuses(self, node: str, version: int) -> bool:
        """Return whether a process says that it refused a version, and where the fault is."""
        refusals = (await self.fleet.status(node))["refusals"]
        return any(f"{version}:" in text and STEP in text for text in refusals)
