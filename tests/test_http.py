"""The HTTP server that entries and the operators' pages share."""

import socket
import time
import unittest
from typing import Any

import anyio
from anyio.from_thread import start_blocking_portal

from carawayhub.addresses import Address
from carawayhub.http import MAX_HEAD_BYTES, ConnectionLimits, HttpServer, bind
from carawayhub.inbound.protocol import MAX_PIPELINED

START = b"GET / HTTP/1.1\r\nhost: h\r\nx-long: "
READ = 262_144
SERVER_BYTES = 16 * 1024 * 1024
"""More bytes than a server discards of a refused client, and the sockets between them hold."""


ANSWER_BYTES = 64 * 1024 * 1024
BODY_BYTES = 1024 * 1024
TIMEOUT = 20.0


async def hello(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"5")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"hello"})


class HeadTest(unittest.TestCase):
    """Heads of requests."""

    def setUp(self) -> None:
        portal = self.enterContext(start_blocking_portal())
        sock = bind(Address("127.0.0.1", 0))
        server = HttpServer(hello, sock)
        portal.start_task_soon(server.run)
        self.addCleanup(portal.call, server.stop)
        self.address = sock.getsockname()
        self.conn = self.enterContext(socket.create_connection(self.address, TIMEOUT))

    def test_a_header_without_end_is_not_kept(self) -> None:
        """An entry runs out of memory, and with it go all the streams that it relays.

        Somebody, without a key, sends a header that does not end; all of it was kept.
        """
        sent = 0
        with self.assertRaises(ConnectionError):
            self.conn.sendall(START)
            while sent < 64 * READ:
                self.conn.sendall(b"x" * READ)
                sent += READ
        self.assertLess(sent, 64 * READ)

    def test_empty_lines_without_end_are_refused(self) -> None:
        """Empty lines before a request count towards no limit and cost processor time."""
        sent = 0
        with self.assertRaises(ConnectionError):
            while sent < 4 * SERVER_BYTES:
                self.conn.sendall(b"\r\n" * (READ // 2))
                sent += READ

    def test_malformed_requests_are_refused(self) -> None:
        """A request that cannot be parsed ends its connection without a word."""
        for data in (
            b"GET http://[:: HTTP/1.1\r\nhost: h\r\n\r\n",
            b"\x00\xff\r\n\r\n",
            b"no request at all\r\n\r\n",
        ):
            with self.subTest(data=data):
                conn = self.enterContext(socket.create_connection(self.address, TIMEOUT))
                conn.sendall(data)
                found = b""
                while part := conn.recv(READ):
                    found += part
                self.assertTrue(found.startswith(b"HTTP/1.1 400 "), found)
                self.assertIn(b"x-carawayhub-code: 2039", found)

    def test_a_long_head_after_a_body_is_taken(self) -> None:
        body = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % (2 * READ)
        self.conn.sendall(body + b" " * (2 * READ) + START + b"x" * (MAX_HEAD_BYTES // 2))
        self.conn.sendall(b"\r\n\r\n")
        found = b""
        while found.count(b"hello") < 2:
            part = self.conn.recv(READ)
            self.assertTrue(part, found)
            found += part
        self.assertEqual(found.count(b"200 OK"), 2)


class TimeTest(unittest.TestCase):
    """Connections on which nothing or little comes."""

    def connect(self, limits: ConnectionLimits, app=hello) -> socket.socket:
        portal = self.enterContext(start_blocking_portal())
        sock = bind(Address("127.0.0.1", 0))
        server = HttpServer(app, sock, lambda: limits)
        portal.start_task_soon(server.run)
        self.addCleanup(portal.call, server.stop)
        return self.enterContext(socket.create_connection(sock.getsockname(), TIMEOUT))

    def test_connection_that_never_asks_is_closed(self) -> None:
        """Peers that connect and say nothing keep all descriptors, and callers cannot connect."""
        conn = self.connect(ConnectionLimits(idle_timeout=0.2))
        self.assertEqual(conn.recv(READ), b"")

    def test_connection_that_sends_a_single_empty_line_is_closed(self) -> None:
        """An empty line stops the idle timer, and no timer of a head has begun."""
        conn = self.connect(ConnectionLimits(head_timeout=0.2, idle_timeout=0.4))
        conn.sendall(b"\r\n")
        self.assertEqual(conn.recv(READ), b"")

    def test_empty_line_behind_a_request_does_not_end_its_connection_early(self) -> None:
        """Some clients send an empty line behind each body."""
        conn = self.connect(ConnectionLimits(head_timeout=0.3, idle_timeout=20.0))
        for _ in range(2):
            conn.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n\r\n")
            found = b""
            while b"hello" not in found:
                part = conn.recv(READ)
                self.assertTrue(part, "closed though the limit of idle connections was not met")
                found += part
            time.sleep(0.6)

    def test_head_that_comes_byte_by_byte_is_refused(self) -> None:
        conn = self.connect(ConnectionLimits(head_timeout=0.3))
        with self.assertRaises(ConnectionError):
            for _ in range(200):
                conn.sendall(b"G")
                time.sleep(0.02)

    def test_idle_connection_is_kept_for_as_long_as_the_limits_say(self) -> None:
        conn = self.connect(ConnectionLimits(idle_timeout=2.0))
        for _ in range(2):
            conn.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            found = b""
            while b"hello" not in found:
                part = conn.recv(READ)
                self.assertTrue(part, "closed though it was not idle for so long")
                found += part
            time.sleep(0.1)
        self.assertEqual(conn.recv(READ), b"")

    def test_half_a_head_does_not_hold_up_a_stop(self) -> None:
        """A server that stops waits for clients that have sent half a head."""
        portal = self.enterContext(start_blocking_portal())
        sock = bind(Address("127.0.0.1", 0))
        server = HttpServer(hello, sock, lambda: ConnectionLimits(head_timeout=60.0))
        stopped = portal.start_task_soon(server.run)
        conn = self.enterContext(socket.create_connection(sock.getsockname(), TIMEOUT))
        conn.sendall(b"GET / HT")
        time.sleep(0.2)
        portal.call(server.stop)
        stopped.result(TIMEOUT)

    def test_late_head_leaves_the_answer_before_it_alone(self) -> None:
        """A caller begins its next request while it still receives an answer.

        400 within that answer would be taken for a part of it.
        """

        async def slow(scope: Any, receive: Any, send: Any) -> None:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            for _ in range(5):
                await anyio.sleep(0.1)
                await send({"type": "http.response.body", "body": b"part", "more_body": True})
            await send({"type": "http.response.body", "body": b"last"})

        conn = self.connect(ConnectionLimits(head_timeout=0.15), slow)
        conn.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\nGET / HT")
        found = b""
        while part := conn.recv(READ):
            found += part
        answer, _, rest = found.partition(b"0\r\n\r\n")
        self.assertNotIn(b" 400 ", answer)
        self.assertIn(b"last", answer)
        self.assertIn(b" 400 ", rest)


class PipelineTest(unittest.TestCase):
    """Requests that are sent before the answers to earlier ones."""

    def test_requests_up_to_the_limit_are_answered(self) -> None:
        """Complete requests that wait for others take memory that nobody can take back."""

        async def slow(scope: Any, receive: Any, send: Any) -> None:
            await anyio.sleep(0.02)
            await hello(scope, receive, send)

        portal = self.enterContext(start_blocking_portal())
        sock = bind(Address("127.0.0.1", 0))
        server = HttpServer(slow, sock)
        portal.start_task_soon(server.run)
        self.addCleanup(portal.call, server.stop)
        conn = self.enterContext(socket.create_connection(sock.getsockname(), TIMEOUT))
        conn.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n" * 1_000)
        found = b""
        while part := conn.recv(READ):
            found += part
        self.assertEqual(found.count(b"hello"), MAX_PIPELINED + 1)
        self.assertTrue(found.endswith(b"hello"), found[-100:])


class UnreadAnswerTest(unittest.TestCase):
    """Clients that do not read their answers."""

    def receive(self, pause: float) -> int:
        """Return the bytes of a large answer that a client gets which reads nothing at first."""

        async def large(scope: Any, receive: Any, send: Any) -> None:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"x" * ANSWER_BYTES})

        portal = self.enterContext(start_blocking_portal())
        sock = bind(Address("127.0.0.1", 0))
        server = HttpServer(large, sock, lambda: ConnectionLimits(idle_timeout=1.0))
        portal.start_task_soon(server.run)
        self.addCleanup(portal.call, server.stop)
        conn = self.enterContext(socket.socket())
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        conn.settimeout(TIMEOUT)
        conn.connect(sock.getsockname())
        conn.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        time.sleep(pause)
        found = 0
        try:
            while part := conn.recv(READ):
                found += len(part)
        except ConnectionError:
            pass
        return found

    def test_answer_that_nobody_reads_is_cut_off(self) -> None:
        """An answer stays in memory, and its connection open, for as long as the client likes."""
        self.assertLess(self.receive(pause=2.5), ANSWER_BYTES)

    def test_answer_that_is_read_late_is_whole(self) -> None:
        self.assertGreaterEqual(self.receive(pause=0.2), ANSWER_BYTES)


class EarlyAnswerTest(unittest.TestCase):
    """Answers that are sent before the body of their request has come."""

    def connect(self) -> socket.socket:
        portal = self.enterContext(start_blocking_portal())
        sock = bind(Address("127.0.0.1", 0))
        limits = ConnectionLimits(body_bytes=BODY_BYTES, head_timeout=0.5)
        server = HttpServer(hello, sock, lambda: limits)
        portal.start_task_soon(server.run)
        self.addCleanup(portal.call, server.stop)
        return self.enterContext(socket.create_connection(sock.getsockname(), TIMEOUT))

    def test_body_that_goes_on_without_end_is_cut_off(self) -> None:
        """A refused body is read on for as long as its client sends."""
        conn = self.connect()
        conn.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
        sent = 0
        with self.assertRaises(ConnectionError):
            while sent < 4 * SERVER_BYTES:
                conn.sendall(b"%x\r\n" % READ + b"x" * READ + b"\r\n")
                sent += READ

    def test_body_that_stops_is_cut_off(self) -> None:
        """A connection whose request was answered early stays open without any limit."""
        conn = self.connect()
        conn.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\nx")
        found = b""
        while part := conn.recv(READ):
            found += part
        self.assertIn(b"hello", found)

    def test_client_that_sends_its_whole_body_first_gets_the_answer(self) -> None:
        """A reset in the middle of the body destroys the answer before its client reads it."""
        conn = self.connect()
        for _ in range(2):
            body = b"x" * BODY_BYTES
            conn.sendall(
                b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(body) + body
            )
            found = b""
            while b"hello" not in found:
                part = conn.recv(READ)
                self.assertTrue(part, "closed before the answer was read")
                found += part


if __name__ == "__main__":
    unittest.main()
