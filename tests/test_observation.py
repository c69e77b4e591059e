"""The commands that look at a running fleet, against operators' endpoints in this process."""

import io
import json
import unittest
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from typing import Any

from anyio.from_thread import start_blocking_portal
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import ManualClock
from carawayhub.context import Environment
from carawayhub.core import main
from carawayhub.http import HttpServer, bind
from carawayhub.output.audit import AuditTrail, Subject
from carawayhub.output.metrics import Metrics
from carawayhub.process.operators import HealthBody, OperatorApp
from carawayhub.process.status import EndpointStatus, GroupStatusRow, ProcessStatus
from carawayhub.status import ExitStatus

SILENT = "127.0.0.1:1"


def run(*words: str) -> tuple[ExitStatus, str, str]:
    env = Environment(stdin=io.StringIO(), stdout=io.StringIO(), stderr=io.StringIO())
    status = main(words, env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def page(name: str) -> ProcessStatus:
    endpoint = EndpointStatus(
        name="brest-1",
        provider="own",
        failure_domain="brest",
        condition="leaving",
        reason="its VM\nis listed",
        load=1.25,
        capacity=64,
        weight=1.0,
    )
    group = GroupStatusRow(
        name="catalogue", map_number=4, skew=1.0625, decision="keep", reason="ok"
    )
    return ProcessStatus(
        name=name,
        role="entry",
        incarnation=1,
        failure_domain="brest",
        version=7,
        digest="",
        newest_known=7,
        ready=True,
        leaving=False,
        endpoints=(endpoint,),
        groups=(group,),
    )


class ObservationTest(unittest.TestCase):
    """Tables, JSON and what is said of processes that give no answer."""

    def setUp(self) -> None:
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.portal = self.stack.enter_context(start_blocking_portal())
        logger.disable("carawayhub.output.audit")
        self.addCleanup(logger.enable, "carawayhub.output.audit")

    def serve(self, app: Callable[..., Awaitable[None]]) -> str:
        sock = bind(Address("127.0.0.1", 0))
        server = HttpServer(app, sock)
        self.portal.start_task_soon(server.run)
        self.stack.callback(self.portal.call, server.stop)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def serve_process(self, name: str, at: float = 1e9) -> str:
        trail = AuditTrail(f"entry:{name}", ManualClock(at))
        trail.record(Subject.ENDPOINT, "brest-1", "serving", "leaving", f"seen by {name}")
        health = HealthBody(name=name, ready=True, reason="")
        return self.serve(OperatorApp(trail, Metrics(), lambda: health, lambda: page(name)))

    def serve_text(self, status: int, body: bytes) -> str:
        async def app(scope: Any, receive: Any, send: Any) -> None:
            headers = [(b"content-length", b"%d" % len(body))]
            await send({"type": "http.response.start", "status": status, "headers": headers})
            await send({"type": "http.response.body", "body": body})

        return self.serve(app)

    def test_status_shows_processes_endpoints_and_groups(self) -> None:
        status, out, err = run("status", self.serve_process("e1"), self.serve_process("e2"))
        self.assertEqual((status, err), (ExitStatus.SUCCESS, ""))
        rows = [line.split() for line in out.splitlines()]
        self.assertEqual(rows[1][:5], ["entry:e1", "brest", "7", "7", "yes"])
        self.assertIn(
            ["entry:e2", "brest-1", "own", "leaving", "1.2", "64", "its", "VM", "is", "listed"],
            rows,
        )
        self.assertEqual(out.count("catalogue"), 2)

    def test_a_process_that_does_not_answer_is_named_beside_those_that_do(self) -> None:
        target = self.serve_process("e1")
        for command in ("status", "audit"):
            status, out, err = run(command, target, SILENT, "--json")
            self.assertEqual(status, ExitStatus.TARGET_UNREACHABLE)
            self.assertEqual(len(json.loads(out)), 1)
            self.assertIn(SILENT, err)
            self.assertNotIn(target, err)

    def test_audit_merges_changes_by_time_and_shows_those_above_a_number(self) -> None:
        targets = self.serve_process("e1", 1e9 + 0.25), self.serve_process("e2", 1e9)
        status, out, _ = run("audit", *targets)
        self.assertEqual(status, ExitStatus.SUCCESS)
        rows = [line.split() for line in out.splitlines()[1:]]
        self.assertEqual([row[1] for row in rows], ["entry:e2", "entry:e1"])
        self.assertEqual(rows[1][0], "01:46:40.250")
        self.assertEqual(run("audit", targets[0], "--since", "1", "--json")[1], "[]\n")
        self.assertIn("seen by e1", run("audit", targets[0], "--since", "-1")[1])

    def test_an_answer_that_cannot_be_used_is_named_in_a_word(self) -> None:
        for status, body, words in (
            (503, b"", "503"),
            (200, b"", "cannot be read"),
            (200, b"<html>", "cannot be read"),
            (200, b'{"name": 1}', "name"),
            (200, b'{"x": ' + b"[" * 100_000, "cannot be read"),
            (200, b"\xff", "cannot be read"),
        ):
            target = self.serve_text(status, body)
            found, _, err = run("status", target)
            self.assertEqual(found, ExitStatus.TARGET_UNREACHABLE)
            self.assertIn(target, err)
            self.assertIn(words, err)

    def test_a_time_that_is_none_does_no_harm(self) -> None:
        change = {"sequence": 1, "at": 1e300, "process": "p", "subject": "group", "name": "g"}
        rest = {"before": "", "after": "", "reason": "odd", "version": 1}
        target = self.serve_text(200, json.dumps([change | rest]).encode())
        status, out, _ = run("audit", target)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn("odd", out)


if __name__ == "__main__":
    unittest.main()
