"""Brings the faults of a trace about in a local fleet."""

import anyio
import anyio.to_thread

from carawayhub.local.fleet import LocalFleet
from carawayhub.replay import faults
from carawayhub.standins.engine import Engine
from carawayhub.standins.faults import EngineFault, LinkFault, PlatformFault, ServiceFault
from carawayhub.standins.service import Service


async def disturb(fleet: LocalFleet, fault: faults.Fault) -> None:
    """Bring one fault about and return when it is over."""
    match fault:
        case faults.Pause(target=target, for_s=seconds):
            fleet.processes[target].pause(seconds)
            await anyio.sleep(seconds)
        case faults.Stop(target=target):
            await fleet.stop(target)
        case faults.Kill(target=target):
            fleet.processes[target].kill()
        case faults.Restart(target=target):
            await _restart(fleet, target)
        case faults.KillVm(target=target):
            fleet.kill_vm(target)
        case faults.SilenceConnections():
            _silence(fleet, fault)
        case _:
            await _disturb_for_a_while(fleet, fault)


async def _disturb_for_a_while(fleet: LocalFleet, fault: faults.Fault) -> None:
    match fault:
        case faults.PlatformTrouble():
            fleet.platform.set_fault(_platform_fault(fault))
            await anyio.sleep(fault.for_s)
            fleet.platform.set_fault(PlatformFault())
        case faults.Partition():
            fleet.plan.partition(fleet.proxy, fault.left, fault.right)
            await anyio.sleep(fault.for_s)
            fleet.plan.heal(fleet.proxy)
        case faults.LinkTrouble():
            state = fleet.proxy.links[fault.link].state
            state.set_fault(_link_fault(fault))
            await anyio.sleep(fault.for_s)
            state.clear()
        case faults.EngineTrouble():
            engine = fleet.endpoints[fault.target].server
            assert isinstance(engine, Engine)
            engine.set_fault(_engine_fault(fault))
            await anyio.sleep(fault.for_s)
            engine.set_fault(EngineFault())
        case faults.ServiceTrouble():
            service = fleet.endpoints[fault.target].server
            assert isinstance(service, Service)
            service.set_fault(_service_fault(fault))
            await anyio.sleep(fault.for_s)
            service.set_fault(ServiceFault())


async def _restart(fleet: LocalFleet, target: str) -> None:
    old = fleet.processes[target]
    old.kill()
    await anyio.to_thread.run_sync(old.join)
    await fleet.restart(target)


def _silence(fleet: LocalFleet, fault: faults.SilenceConnections) -> None:
    source = fleet.plan.node(fault.source).inner if fault.source else ""
    fleet.proxy.links[fault.link].silence_open(source)


def _platform_fault(fault: faults.PlatformTrouble) -> PlatformFault:
    return PlatformFault(
        down=fault.down,
        silent=fault.silent,
        stale_version=fault.stale_version,
        slow_s=fault.slow_s,
    )


def _link_fault(fault: faults.LinkTrouble) -> LinkFault:
    return LinkFault(
        delay_ms=fault.delay_ms,
        jitter_ms=fault.jitter_ms,
        refuse=fault.refuse,
        cut_after=fault.cut_after,
        cut_count=fault.cut_count,
        duplicate_count=fault.duplicate_count,
        cross_count=fault.cross_count,
    )


def _engine_fault(fault: faults.EngineTrouble) -> EngineFault:
    return EngineFault(
        stall_s=fault.stall_s,
        slow_factor=fault.slow_factor,
        cut_after=fault.cut_after,
        cut_count=fault.cut_count,
        error_count=fault.error_count,
        silent=fault.silent,
    )


def _service_fault(fault: faults.ServiceTrouble) -> ServiceFault:
    return ServiceFault(
        lose_reply_count=fault.lose_reply_count,
        delay_s=fault.delay_s,
        slow_factor=fault.slow_factor,
        error_count=fault.error_count,
        silent=fault.silent,
    )
