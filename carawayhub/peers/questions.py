"""Questions and answers between processes, as datagrams.

Agents ask each other for counters and give orders so. An order to a rank may be lost or take effect
late in any case, so nothing is gained from a connection: a lost datagram is one more order without
an answer. Entries ask each other for published content, and read it themselves where no answer
comes.
"""

import secrets
import socket
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from carawayhub.peers.pace import LinkPace

ANSWER_SECONDS = 0.25
"""Seconds for an answer: a call of the other process on its own VM, and the way both ways."""

COMPRESSED_FROM = 512
"""Bytes of a datagram from which on it is compressed: counters shrink to a third, and the links of
agents are slow enough for the counters of a whole group to fill them for 70 ms."""

SENT_TWICE = frozenset({"report", "alive", "arm"})
"""Subjects of questions that change nothing at the other process, or the same however often they
come. They are sent again where no answer came soon: of 63 answers that a change needs at once, one
in forty lost would end nearly each change."""

RESEND_SECONDS = 0.1
"""Seconds without an answer after which such a question is sent again; most take a few ms."""

MAX_DATAGRAM = 65_536

MAX_RUNNING = 64
"""Questions that a process works on at once; more are dropped, and asked again."""


class Question(msgspec.Struct, array_like=True, kw_only=True):
    """One question.

    Attributes:
        number: Names the question; the answer carries it.
        asker: Names the run of the process that asks.
        subject: What is asked; a name of ``experts.remote`` or ``gateway.handing``.
        epoch: Formation in which an order holds.
        fence: Fencing token of an order.
        content: What else the subject needs, in MessagePack.
    """

    number: int
    asker: str
    subject: str
    epoch: int = 0
    fence: int = 0
    content: bytes = b""


class Answer(msgspec.Struct, array_like=True, kw_only=True):
    """The answer to a question.

    Attributes:
        number: That of the question.
        asker: The run of the process that asked.
        ok: Whether the question could be answered.
        content: The answer in MessagePack, or why there is none.
    """

    number: int
    asker: str
    ok: bool
    content: bytes = b""


class _Datagram(msgspec.Struct, array_like=True, kw_only=True):
    question: Question | None = None
    answer: Answer | None = None


Handler = Callable[[Question, str], Awaitable[Answer]]


@dataclass(slots=True)
class _Waiting:
    """A question without an answer yet.

    Attributes:
        subject: What was asked.
        settled: Set when the answer is there.
        answer: The answer.
    """

    subject: str
    settled: anyio.Event
    answer: Answer | None = None


class QuestionLink:
    """Asks other processes and answers them.

    Args:
        ip: IP number of this VM.
        port: Port of all processes of its kind.
        handler: Answers a question that came from an IP number.
        pace: Spreads questions, and so their answers, over time.
    """

    __slots__ = (
        "_answer_sizes",
        "_asker",
        "_handler",
        "_ip",
        "_number",
        "_pace",
        "_port",
        "_running",
        "_sock",
        "_waiting",
    )

    def __init__(self, ip: str, port: int, handler: Handler, pace: LinkPace) -> None:
        self._ip = ip
        self._port = port
        self._handler = handler
        self._pace = pace
        self._answer_sizes: dict[str, int] = {}
        self._asker = secrets.token_hex(4)
        self._number = 0
        self._running = 0
        self._sock: socket.socket | None = None
        self._waiting: dict[int, _Waiting] = {}

    async def run(self) -> None:
        """Answer questions until cancelled."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((self._ip, self._port))
        self._sock = sock
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(sock)
                    self._receive(sock, tasks)
        finally:
            self._sock = None
            sock.close()

    async def ask(
        self, ip: str, subject: str, content: bytes = b"", epoch: int = 0, fence: int = 0
    ) -> Answer | None:
        """Ask the process at ``ip``; return None where no answer comes.

        The time for the answer begins when the question goes out: it may wait for its turn behind
        those to other agents.
        """
        self._number += 1
        number = self._number
        question = Question(
            number=number,
            asker=self._asker,
            subject=subject,
            epoch=epoch,
            fence=fence,
            content=content,
        )
        data = _encoded(_Datagram(question=question))
        await anyio.sleep(self._pace.delay(max(len(data), self._answer_sizes.get(subject, 0))))
        waiting = self._waiting[number] = _Waiting(subject, anyio.Event())
        try:
            with anyio.move_on_after(ANSWER_SECONDS):
                await self._exchange(ip, data, waiting)
        finally:
            del self._waiting[number]
        return waiting.answer

    async def _exchange(self, ip: str, data: bytes, waiting: _Waiting) -> None:
        """Send a question and wait for its answer; send it a second time where that may be."""
        self._send(ip, data)
        if waiting.subject in SENT_TWICE:
            with anyio.move_on_after(RESEND_SECONDS):
                await waiting.settled.wait()
                return
            self._send(ip, data)
        await waiting.settled.wait()

    def _receive(self, sock: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        try:
            data, (ip, _) = sock.recvfrom(MAX_DATAGRAM)
        except BlockingIOError:
            return
        except OSError as exc:
            logger.bind(error=str(exc)).warning("datagrams cannot be read")
            return
        self.take(data, ip, tasks)

    def take(self, data: bytes, ip: str, tasks: anyio.abc.TaskGroup) -> None:
        """Take in a datagram of another process.

        Args:
            data: The datagram.
            ip: Where it came from.
            tasks: Where a question is answered.
        """
        try:
            datagram = _decoded(data)
        except (msgspec.DecodeError, zlib.error) as exc:
            logger.bind(peer=ip, error=str(exc)).warning("datagram cannot be read")
            return
        if datagram.answer is not None:
            self._settle(datagram.answer, len(data))
        if datagram.question is not None and self._running < MAX_RUNNING:
            tasks.start_soon(self._answer, datagram.question, ip)

    def _settle(self, answer: Answer, size: int) -> None:
        waiting = self._waiting.get(answer.number)
        if waiting is None or answer.asker != self._asker:
            return
        self._answer_sizes[waiting.subject] = size
        waiting.answer = answer
        waiting.settled.set()

    async def _answer(self, question: Question, ip: str) -> None:
        self._running += 1
        try:
            data = _encoded(_Datagram(answer=await self._handler(question, ip)))
            await anyio.sleep(self._pace.delay(len(data)))
            self._send(ip, data)
        finally:
            self._running -= 1

    def _send(self, ip: str, data: bytes) -> None:
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, (ip, self._port))
        except OSError as exc:
            logger.bind(peer=ip, error=str(exc)).warning("failed to send a datagram")


_PLAIN, _COMPRESSED = b"p", b"z"


def _encoded(datagram: _Datagram) -> bytes:
    data = msgspec.msgpack.encode(datagram)
    if len(data) < COMPRESSED_FROM:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, level=1)


def _decoded(data: bytes) -> _Datagram:
    """Return the datagram in ``data``.

    A sender of garbage could make a small datagram unpack to gigabytes, so no more is unpacked than
    a datagram may hold.

    Raises:
        msgspec.DecodeError, zlib.error: It cannot be read.
    """
    content = data[1:]
    if data[:1] == _COMPRESSED:
        content = zlib.decompressobj().decompress(content, MAX_DATAGRAM)
    return msgspec.msgpack.decode(content, type=_Datagram)
