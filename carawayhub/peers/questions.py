"""Questions and answers between processes, as datagrams.

Agents use them to ask each other for counters and to issue orders. An order to a rank may be lost
or take effect late in any case, so a connection has no advantage: a lost datagram is one more order
without an answer. Entries ask each other for published content, and read it themselves if no answer
arrives.
"""

import secrets
import socket
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from carawayhub.peers.pace import LinkPacer

ANSWER_SECONDS = 0.25
"""Timeout of an answer: a call by the other process on its own VM, plus the round trip."""

COMPRESSION_MIN_BYTES = 512
"""Minimum size in bytes of a datagram that is compressed. Compression reduces counters to a third;
the links of agents are so slow that the counters of a complete group occupy them for 70 ms."""

RESENDABLE_SUBJECTS = frozenset({"report", "alive", "arm"})
"""Subjects of idempotent questions, which are sent again if no answer arrives soon. A change needs
63 answers at once, so losing one in forty would abort nearly every change."""

RESEND_SECONDS = 0.1
"""Seconds without an answer before a question is sent again; most answers take a few ms."""

MAX_DATAGRAM = 65_536

MAX_REASON_CHARS = 200
"""Characters of an error that an answer contains."""

MAX_CONCURRENT_QUESTIONS = 64
"""Questions that a process handles concurrently; further ones are dropped and asked again."""


class Question(msgspec.Struct, array_like=True, kw_only=True):
    """One question.

    Attributes:
        number: Identifies the question; the answer repeats it.
        asker: Identifies the run of the process that asks.
        subject: What is asked; a name of ``experts.remote`` or ``gateway.handing``.
        epoch: Formation in which an order is valid.
        fence: Fencing token of an order.
        content: Arguments of the subject, in MessagePack.
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
        number: Number of the question.
        asker: The run of the process that asked.
        ok: Whether the question could be answered.
        content: The answer in MessagePack, or the reason why there is none.
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
        settled: Set when the answer has arrived.
        answer: The answer.
    """

    subject: str
    settled: anyio.Event
    answer: Answer | None = None


class QuestionLink:
    """Sends questions to other processes and answers theirs.

    Args:
        ip: IP address of this VM.
        port: Port that all processes of this kind use.
        handler: Answers a question; receives it with the IP address of its sender.
        pace: Spreads questions and thereby their answers over time.
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

    def __init__(self, ip: str, port: int, handler: Handler, pace: LinkPacer) -> None:
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
        """Ask the process at ``ip``; return None if no answer arrives.

        The timeout starts when the question is sent, since it may first wait behind questions to
        other agents.
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
        """Send a question and wait for its answer; resend it once if its subject allows."""
        self._send(ip, data)
        if waiting.subject in RESENDABLE_SUBJECTS:
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
            logger.bind(error=str(exc)).warning("could not receive a datagram")
            return
        self.receive_datagram(data, ip, tasks)

    def receive_datagram(self, data: bytes, ip: str, tasks: anyio.abc.TaskGroup) -> None:
        """Process a datagram from another process.

        Args:
            data: The datagram.
            ip: IP address of its sender.
            tasks: Task group in which a question is answered.
        """
        try:
            datagram = _decoded(data)
        except (msgspec.DecodeError, zlib.error) as exc:
            logger.bind(peer=ip, error=str(exc)).warning("could not decode a datagram")
            return
        if datagram.answer is not None:
            self._settle(datagram.answer, len(data))
        if datagram.question is not None and self._running < MAX_CONCURRENT_QUESTIONS:
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
            data = _encoded(_Datagram(answer=await self._handle(question, ip)))
            await anyio.sleep(self._pace.delay(len(data)))
            self._send(ip, data)
        finally:
            self._running -= 1

    async def _handle(self, question: Question, ip: str) -> Answer:
        try:
            return await self._handler(question, ip)
        except Exception as exc:
            logger.bind(peer=ip, subject=question.subject).opt(exception=exc).error(
                "unexpected error while answering a question: {!r}", exc
            )
            reason = repr(exc)[:MAX_REASON_CHARS].encode()
            return Answer(number=question.number, asker=question.asker, ok=False, content=reason)

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
    if len(data) < COMPRESSION_MIN_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, level=1)


def _decoded(data: bytes) -> _Datagram:
    """Return the datagram in ``data``.

    A malformed small datagram could decompress to gigabytes, so the output is limited to the
    maximum size of a datagram.

    Raises:
        msgspec.DecodeError, zlib.error: It cannot be decoded.
    """
    content = data[1:]
    if data[:1] == _COMPRESSED:
        content = zlib.decompressobj().decompress(content, MAX_DATAGRAM)
    return msgspec.msgpack.decode(content, type=_Datagram)
