"""The operators' HTTP endpoints."""

import json
import unittest
from typing import Any

from loguru import logger

from carawayhub.clock import ManualClock
from carawayhub.output.audit import AuditTrail, Subject
from carawayhub.output.metrics import Latency, Metrics
from carawayhub.process.operators import HealthBody, OperatorApp


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Pages of one process."""

    def setUp(self) -> None:
        logger.disable("carawayhub.output.audit")
        self.addCleanup(logger.enable, "carawayhub.output.audit")
        self.health = HealthBody(name="e1", ready=True, reason="")
        self.audit = AuditTrail("entry:e1", ManualClock())
        self.metrics = Metrics()
        status = {"version": 3}
        self.app = OperatorApp(self.audit, self.metrics, lambda: self.health, lambda: status)

    async def get(self, path: str, query: bytes = b"", method: str = "GET") -> tuple[int, bytes]:
        sent: list[dict[str, Any]] = []

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        scope = {"type": "http", "method": method, "path": path, "query_string": query}
        await self.app(scope, None, send)
        start, body = sent
        length = dict(start["headers"])[b"content-length"]
        self.assertEqual(int(length), len(body["body"]))
        return start["status"], body["body"]

    async def test_a_process_that_may_not_serve_lives_and_says_why_not(self) -> None:
        self.assertEqual((await self.get("/readyz"))[0], 200)
        self.health = HealthBody(name="e1", ready=False, reason="no configuration yet")
        self.assertEqual((await self.get("/healthz"))[0], 200)
        status, body = await self.get("/readyz")
        self.assertEqual((status, json.loads(body)["reason"]), (503, "no configuration yet"))

    async def test_measurements_come_as_text_and_as_json(self) -> None:
        self.metrics.latency(Latency.QUEUE, 0.02, "bar", "cat")
        status, text = await self.get("/metrics")
        self.assertEqual(status, 200)
        line = b'carawayhub_latency_milliseconds_count{organisation="bar",latency="queue"} 1'
        self.assertIn(line, text.splitlines())
        _, body = await self.get("/metrics", b"format=json")
        self.assertEqual(json.loads(body)["latencies"][0]["latency"], "queue")

    async def test_changes_are_given_above_a_number(self) -> None:
        for name in ("b1", "b2"):
            self.audit.record(Subject.ENDPOINT, name, "serving", "leaving", "listed")
        for query, names in (
            (b"", ["b1", "b2"]),
            (b"since=1", ["b2"]),
            (b"since=-5", ["b1", "b2"]),
            (b"since=99", []),
        ):
            status, body = await self.get("/audit", query)
            self.assertEqual((status, [row["name"] for row in json.loads(body)]), (200, names))

    async def test_what_cannot_be_understood_is_refused(self) -> None:
        for query in (b"since=x", b"since=%C2%B2", b"since=" + b"9" * 5000):
            self.assertEqual((await self.get("/audit", query))[0], 400, query[:20])
        self.assertEqual((await self.get("/unknown"))[0], 404)
        self.assertEqual((await self.get("/healthz", method="POST"))[0], 405)
        self.assertEqual((await self.get("/healthz", method="HEAD"))[0], 200)
        self.assertEqual(json.loads((await self.get("/status"))[1]), {"version": 3})


if __name__ == "__main__":
    unittest.main()
