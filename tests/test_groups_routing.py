"""Tests that a group gets requests only while the agent of its rank 0 reports no failure."""

import dataclasses
import unittest

from carawayhub.codes import Code
from carawayhub.config.model import ModelGroup
from carawayhub.errors import RequestError
from carawayhub.peers.messages import ServingState
from carawayhub.routing.query import Condition
from tests.routing_fakes import RouterHarness, configuration, query

NOT_FORMED = "ranks 2, 3 of its group do not answer"


class OutOfStepTest(unittest.TestCase):
    """The ranks of a group are not in one formation, and only the agent of rank 0 knows."""

    def setUp(self) -> None:
        cfg = configuration(3)
        self.names = sorted(cfg.endpoints)
        group = ModelGroup(name="wide", model="", endpoints=tuple(self.names), ranks=6)
        model = next(iter(cfg.groups.values())).model
        groups = {"wide": dataclasses.replace(group, model=model)}
        self.harness = RouterHarness(dataclasses.replace(cfg, groups=groups))
        self.harness.receive_all()

    def fail_leader(self) -> None:
        self.harness.receive(
            self.names[0], state=ServingState.FAILED, permit=0.0, reason=NOT_FORMED
        )

    def test_no_endpoint_of_the_group_is_sent_requests(self) -> None:
        """Guards against requests that wait at a group that cannot step after losing a rank.

        The agents of the other endpoints still report that they serve. Once the agent of rank 0
        reports the failure, requests must be rejected as not run, including those about to be
        sent.
        """
        self.assertEqual(set(self.harness.send_and_finish(60)), set(self.names))
        self.fail_leader()
        with self.assertRaises(RequestError) as caught:
            self.harness.router.choose(query())
        self.assertEqual(caught.exception.code, Code.GROUP_BROKEN)
        self.assertGreater(caught.exception.retry_after or 0.0, 0.0)
        self.assertFalse(self.harness.router.permitted(self.names[1]))
        conditions = {row.endpoint: row.condition for row in self.harness.router.states()}
        self.assertEqual(conditions, dict.fromkeys(self.names, Condition.FAILED))
        self.harness.receive_all()
        self.assertEqual(set(self.harness.send_and_finish(60)), set(self.names))

    def test_a_leader_that_is_not_heard_says_nothing_of_its_group(self) -> None:
        """Guards against rejecting requests after the link to the leader is lost.

        The last report of the leader's agent was a failure. Its current state is unknown, and the
        other endpoints report that they serve.
        """
        self.fail_leader()
        self.harness.router.mark_link_lost(self.names[0])
        self.assertEqual(set(self.harness.send_and_finish(60)), set(self.names[1:]))

    def test_endpoints_of_other_groups_are_not_concerned(self) -> None:
        """One of two groups cannot step, so all requests go to the other."""
        cfg = self.harness.cfg
        (wide,) = cfg.groups.values()
        parts = {
            "wide": dataclasses.replace(wide, endpoints=tuple(self.names[:2]), ranks=4),
            "single": dataclasses.replace(wide, endpoints=(self.names[2],), ranks=1),
        }
        self.harness.router.configure(dataclasses.replace(cfg, groups=parts))
        self.fail_leader()
        self.assertEqual(set(self.harness.send_and_finish(60)), {self.names[2]})


if __name__ == "__main__":
    unittest.main()
