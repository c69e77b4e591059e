"""Tests of the membership states alive, suspect, leaving and gone."""

import unittest

from carawayhub.clock import ManualClock
from carawayhub.fleet.membership import (
    GONE_AFTER_SECONDS,
    LeavingSource,
    Member,
    MemberChange,
    Membership,
    MemberState,
)
from carawayhub.platform.ports import ListedVm, VmList, VmState


class MembershipTest(unittest.TestCase):
    """Nine peers in three failure domains, all answering at the start."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.changes: list[MemberChange] = []
        self.members = Membership(self.clock, self.changes.append)
        self.names = [f"peer-{number}" for number in range(9)]
        self.members.set_peers(member(name) for name in self.names)
        self.members.update_vm_list(vm_list(1, self.names))
        for name in self.names:
            self.members.record_heartbeat(name, incarnation=1)
        self.changes.clear()

    def test_a_dead_peer_is_suspect_and_then_gone(self) -> None:
        self.members.failed("peer-0", "refused")
        self.assertIs(self.members.state("peer-0"), MemberState.SUSPECT)
        self.assertFalse(self.members.usable("peer-0"))
        self.members.update_vm_list(vm_list(2, self.names[1:]))
        self.assertIs(self.members.state("peer-0"), MemberState.GONE)

    def test_a_peer_that_the_lagging_list_keeps_is_gone_after_a_time(self) -> None:
        self.members.failed("peer-0", "refused")
        self.clock.advance(GONE_AFTER_SECONDS)
        self.members.evaluate()
        self.assertIs(self.members.state("peer-0"), MemberState.GONE)

    def test_an_empty_list_evicts_nobody_that_answers(self) -> None:
        """Guards against excluding all endpoints at once although all of them serve.

        The platform serves an empty VM list after a restart of its database.
        """
        self.members.update_vm_list(vm_list(2, []))
        self.assertTrue(all(self.members.usable(name) for name in self.names))

    def test_a_process_that_is_cut_off_suspects_itself(self) -> None:
        """Guards against an entry evicting all of its peers when its own switch port fails.

        Connections to all peers fail within seconds, in all failure domains. The fault is at the
        entry: its peers are healthy and must not be declared gone, nor damped as flapping later.
        """
        for _ in range(5):
            for name in self.names[:8]:
                self.members.failed(name, "no route")
            self.clock.advance(2 * GONE_AFTER_SECONDS)
            self.members.evaluate()
            self.assertTrue(self.members.isolated)
            for name in self.names:
                self.assertIsNot(self.members.state(name), MemberState.GONE)
                self.members.record_heartbeat(name, incarnation=1)
                self.members.evaluate()
        self.assertFalse(self.members.isolated)
        self.assertTrue(all(self.members.usable(name) for name in self.names))

    def test_a_failed_domain_is_not_taken_for_being_cut_off(self) -> None:
        for name in self.names:
            if name in ("peer-0", "peer-3", "peer-6"):
                self.members.failed(name, "no route")
        self.assertFalse(self.members.isolated)
        self.clock.advance(GONE_AFTER_SECONDS)
        self.members.evaluate()
        self.assertEqual(self.members.down(), {"peer-0", "peer-3", "peer-6"})
        self.assertIs(self.members.state("peer-3"), MemberState.GONE)

    def test_a_flapping_peer_is_kept_out_of_use_for_a_while(self) -> None:
        """Guards against bursts of failed requests each time a flapping endpoint recovers.

        Its cable is loose: it answers a heartbeat, misses some, and answers again.
        """
        for _ in range(4):
            self.members.failed("peer-0", "silent")
            self.clock.advance(3)
            self.members.record_heartbeat("peer-0", incarnation=1)
        self.assertIs(self.members.state("peer-0"), MemberState.ALIVE)
        self.assertTrue(self.members.damped("peer-0"))
        self.assertFalse(self.members.usable("peer-0"))
        self.clock.advance(200)
        self.assertTrue(self.members.usable("peer-0"))

    def test_one_restart_is_not_flapping(self) -> None:
        self.members.failed("peer-0", "refused")
        self.members.record_heartbeat("peer-0", incarnation=2)
        self.assertTrue(self.members.usable("peer-0"))

    def test_a_late_message_of_an_earlier_incarnation_says_nothing(self) -> None:
        """Guards against a restarted agent being treated as leaving long after its restart.

        Its previous incarnation reported leaving over a connection whose last bytes arrive late.
        """
        self.members.record_heartbeat("peer-0", incarnation=2)
        self.assertFalse(self.members.record_heartbeat("peer-0", incarnation=1, leaving=True))
        self.assertTrue(self.members.usable("peer-0"))

    def test_any_source_makes_a_peer_leaving(self) -> None:
        self.members.record_heartbeat("peer-0", incarnation=1, leaving=True)
        self.members.update_vm_list(vm_list(2, self.names, leaving="peer-1"))
        self.members.set_peers(member(name, leaving=name == "peer-2") for name in self.names)
        for name in self.names[:3]:
            self.assertIs(self.members.state(name), MemberState.LEAVING)
            self.assertFalse(self.members.usable(name))
        self.assertEqual(self.members.leaving("peer-1"), {LeavingSource.VM_LIST})
        self.members.record_heartbeat("peer-0", incarnation=1, leaving=False)
        self.assertIs(self.members.state("peer-0"), MemberState.LEAVING)
        self.members.record_heartbeat("peer-0", incarnation=2)
        self.members.update_vm_list(vm_list(3, self.names))
        self.assertTrue(self.members.usable("peer-0"))
        self.assertTrue(self.members.usable("peer-1"))

    def test_after_a_pause_nothing_is_believed_and_nobody_blamed(self) -> None:
        """Guards against an entry evicting or trusting all of its peers after a one-minute pause.

        To the entry every peer was silent for a minute, including those that left during the pause.
        """
        self.members.failed("peer-8", "refused")
        self.clock.advance(GONE_AFTER_SECONDS)
        self.members.reset_to_unconfirmed()
        self.members.evaluate()
        self.assertFalse(self.members.mostly_confirmed())
        self.assertFalse(any(self.members.usable(name) for name in self.names))
        self.assertIs(self.members.state("peer-8"), MemberState.SUSPECT)
        for name in self.names[:5]:
            self.members.record_heartbeat(name, incarnation=1)
        self.assertTrue(self.members.mostly_confirmed())
        self.assertTrue(self.members.usable("peer-0"))
        self.assertFalse(self.members.usable("peer-6"))


def member(name: str, leaving: bool = False) -> Member:
    return Member(name, f"vm-{name}", f"domain-{int(name[-1]) % 3}", leaving)


def vm_list(number: int, names: list[str], leaving: str = "") -> VmList:
    states = {True: VmState.LEAVING, False: VmState.LIVE}
    vms = tuple(ListedVm(name=f"vm-{name}", state=states[name == leaving]) for name in names)
    return VmList(number=number, vms=vms)
