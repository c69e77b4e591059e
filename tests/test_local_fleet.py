"""A local fleet: its plan holds together, and its real processes serve behind the fault proxy."""

import unittest

import anyio

from carawayhub.config.check import build
from carawayhub.config.files import ConfigFile
from carawayhub.settings import AgentSettings, EntrySettings, parse_settings
from carawayhub.standins.asks import Generate, LookUp
from carawayhub.standins.callers import Caller, CallerOptions
from carawayhub.standins.checker import Evidence, check
from carawayhub.standins.fleet import FleetPlan, leaving_step, to_json
from carawayhub.standins.fleetshape import EndpointKind, FleetShape, SubnetLease
from carawayhub.standins.proxy import Proxy
from carawayhub.standins.records import Result
from tests.processes import process_fleet

SUBNET = 33
WAIT_S = 30.0


class FleetPlanTest(unittest.TestCase):
    """The plan alone; nothing is started."""

    def setUp(self) -> None:
        self.plan = FleetPlan(FleetShape(), SUBNET)

    def test_configuration_with_a_step_is_accepted(self) -> None:
        name, content = leaving_step(["engine-attica-1"])
        files = {**self.plan.config_files(), name: content}
        ordered = tuple(ConfigFile(name, files[name]) for name in sorted(files))
        self.assertEqual(build(ordered).problems, ())

    def test_settings_are_accepted_and_match_the_configuration(self) -> None:
        node = self.plan.entries[0]
        entry = parse_settings(to_json(self.plan.entry_settings(node)), "e", EntrySettings)
        self.assertEqual(entry.peer_address, f"{node.outer}:7000")
        for endpoint in self.plan.endpoints:
            content = to_json(self.plan.agent_settings(endpoint))
            self.assertEqual(parse_settings(content, "a", AgentSettings).name, endpoint.name)

    def test_partition_silences_each_side_for_the_other_only(self) -> None:
        proxy = Proxy()
        self.plan.add_links(proxy)
        self.plan.partition(proxy, ["attica"], ["larisa"])
        attica, larisa = self.plan.node("engine-attica-1"), self.plan.node("entry-larisa-1")
        patra = self.plan.node("entry-patra-1")
        state = proxy.links["engine-attica-1.peer"].state
        self.assertTrue(state.fault_of(larisa.inner).silent_to_target)
        self.assertFalse(state.fault_of(patra.inner).silent_to_target)
        self.assertTrue(proxy.links[larisa.name].state.fault_of(attica.inner).silent_to_client)
        self.plan.heal(proxy)
        self.assertFalse(state.fault_of(larisa.inner).silent_to_target)

    def test_two_fleets_get_two_subnets(self) -> None:
        one, two = SubnetLease(), SubnetLease()
        try:
            self.assertNotEqual(one.number, two.number)
        finally:
            one.release()
            two.release()


class ProcessFleetTest(unittest.IsolatedAsyncioTestCase):
    """Entries, agents and endpoints as processes."""

    async def test_calls_are_answered_and_the_journal_of_a_killed_engine_stays(self) -> None:
        shape = FleetShape(failure_domains=("attica",), entries=1, engines=1, services=1)
        async with process_fleet(shape) as fleet:
            engine = fleet.plan.endpoints_of(EndpointKind.ENGINE)[0].name
            organisation = shape.organisations[0]
            options = CallerOptions(
                name="c", api_key=organisation.key, seeds=fleet.plan.seeds, attempts=20
            )
            async with Caller(options).open() as caller:
                ask = Generate(model=shape.model, prompt="why does it hum", max_tokens=8)
                records = [await caller.call(ask), await caller.call(LookUp(path="/lookup"))]
                fleet.endpoints[engine].kill()
            self.assertEqual([record.result for record in records], [Result.COMPLETED] * 2)
            report = check(Evidence(records, fleet.journals()))
            self.assertEqual((report.findings, report.runs), ([], 2))

    async def test_step_reaches_a_daemon_that_was_paused(self) -> None:
        """An entry that was frozen must not go on with what it knew.

        An entry's VM is paused, a step is published and comes into force elsewhere, and the entry
        wakes. It must take the step as well, and end in order when it is asked to.
        """
        shape = FleetShape(failure_domains=("attica",), entries=2, engines=1, services=0)
        async with process_fleet(shape) as fleet:
            paused, other = [node.name for node in fleet.plan.entries]
            fleet.daemons[paused].pause()
            version = fleet.publish(*leaving_step(["engine-attica-1"]))
            await fleet.wait_for_version(other, version)
            fleet.daemons[paused].resume()
            await fleet.wait_for_version(paused, version)
            with anyio.fail_after(WAIT_S):
                self.assertEqual(await fleet.daemons[paused].stop(), 0)
