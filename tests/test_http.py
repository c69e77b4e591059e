"""The HTTP server that entries and the operators' pages share."""

import socket
import unittest
from typing import Any

from anyio.from_thread import start_blocking_portal

from carawayhub.addresses import Address
from carawayhub.http import MAX_HEAD_BYTES, HttpServer, bind

START = b"GET / HTTP/1.1\r\nhost: h\r\nx-long: "
READ = 262_144
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
        self.conn = self.enterContext(socket.create_connection(sock.getsockname(), TIMEOUT))

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


if __name__ == "__main__":
    unittest.main()
