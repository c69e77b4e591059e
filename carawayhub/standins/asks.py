"""What callers ask for, and whether an answer is the whole answer to that question."""

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from carawayhub.standins.content import GenerateBody, answer_text, digest_of, token_text
from carawayhub.standins.service import look_up_answer, look_up_content

END_OF_EVENT = b"\n\n"
DONE = b"[DONE]"


class WrongAnswerError(Exception):
    """An answer is not the one to its request, or looks whole though it is not."""


class ErrorEventError(Exception):
    """A stream announces that it is going to break off."""


@dataclass(slots=True, frozen=True, kw_only=True)
class Generate:
    """A model call; ``prompt`` must be unlike any other, since the answer is made from it.

    Attributes:
        model: Name of the model.
        prompt: The prompt.
        max_tokens: Tokens wanted.
        stream: Whether the answer comes as a stream.
        chat: Whether the chat shape is used.
    """

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = True
    chat: bool = True

    @property
    def fields(self) -> dict[str, Any]:
        """The JSON body."""
        prompt: dict[str, Any] = {"prompt": self.prompt}
        if self.chat:
            prompt = {"messages": [{"role": "user", "content": self.prompt}]}
        sizes = {"max_tokens": self.max_tokens, "stream": self.stream}
        return {"model": self.model} | prompt | sizes


@dataclass(slots=True, frozen=True, kw_only=True)
class LookUp:
    """A call of a plain service that may be repeated."""

    path: str
    query: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True, kw_only=True)
class Book:
    """A booking, which may not be repeated; ``visitor`` must be unlike any other."""

    bench: str
    slot: str
    visitor: str


Ask = Generate | LookUp | Book


@dataclass(slots=True, frozen=True)
class Wire:
    """An ask as an HTTP request.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: The body, empty for none.
        content: Digest by which an endpoint's journal knows it.
    """

    method: str
    path: str
    body: bytes
    content: str


def to_wire(ask: Ask) -> Wire:
    """Return the HTTP request of ``ask``."""
    match ask:
        case Generate():
            path = "/v1/chat/completions" if ask.chat else "/v1/completions"
            body = msgspec.json.encode(ask.fields)
            return Wire("POST", path, body, _generate_digest(ask))
        case LookUp(path=path, query=query):
            suffix = f"?{urlencode(query)}" if query else ""
            content = digest_of(look_up_content(path, query))
            return Wire("GET", quote(path) + suffix, b"", content)
        case Book():
            body = msgspec.json.encode(ask)
            return Wire("POST", "/bookings", body, digest_of(body))


def check_whole(ask: Ask, body: bytes) -> int:
    """Check an answer that is not streamed and return its tokens, 0 for a plain service.

    Raises:
        WrongAnswerError: It is not the answer to ``ask``.
    """
    try:
        answer = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        raise WrongAnswerError(f"not JSON: {exc}") from exc
    match ask:
        case Generate():
            return _check_generated(ask, answer)
        case LookUp(path=path, query=query):
            wanted = look_up_answer(path, query)
        case Book():
            wanted = msgspec.to_builtins(ask)
    got = {name: answer.get(name) for name in wanted}
    if got != wanted:
        raise WrongAnswerError(f"wanted {wanted}, got {got}")
    return 0


def _check_generated(ask: Generate, answer: dict[str, Any]) -> int:
    try:
        choice = answer["choices"][0]
        text = choice["message"]["content"] if ask.chat else choice["text"]
        tokens = answer["usage"]["completion_tokens"]
    except (KeyError, IndexError) as exc:
        raise WrongAnswerError(f"the answer lacks {exc}") from exc
    if text != answer_text(_generate_digest(ask), ask.max_tokens):
        raise WrongAnswerError(f"wrong text: {text[:80]!r}")
    if tokens != ask.max_tokens:
        raise WrongAnswerError(f"{tokens} tokens counted, {ask.max_tokens} wanted")
    return ask.max_tokens


def _generate_digest(ask: Generate) -> str:
    return msgspec.convert(ask.fields, GenerateBody).digest


class StreamChecker:
    """Checks a stream token by token.

    Args:
        ask: What was asked.

    Attributes:
        tokens: Tokens seen so far.
        done: Whether the explicit end was seen.
    """

    __slots__ = ("_ask", "_digest", "_finished", "_id", "_rest", "done", "tokens")

    def __init__(self, ask: Generate) -> None:
        self.tokens = 0
        self.done = False
        self._ask = ask
        self._digest = _generate_digest(ask)
        self._finished = False
        self._id: str | None = None
        self._rest = b""

    def feed(self, data: bytes) -> int:
        """Take bytes of the stream and return how many tokens they completed.

        Raises:
            WrongAnswerError: A token is not the next one of this answer.
            ErrorEventError: The stream announces that it breaks off.
        """
        before = self.tokens
        *events, self._rest = (self._rest + data).split(END_OF_EVENT)
        for event in events:
            self._take(event)
        return self.tokens - before

    def end(self) -> None:
        """Take the orderly end of the body.

        Raises:
            WrongAnswerError: The answer was not whole, and still nothing told the caller.
        """
        if not self.done or self._rest:
            raise WrongAnswerError(f"the stream ended in order after {self.tokens} tokens")

    def _take(self, event: bytes) -> None:
        if event.startswith(b"event: error"):
            raise ErrorEventError(event.decode(errors="replace"))
        if event.startswith(b":"):
            return
        if self.done or not event.startswith(b"data: "):
            raise WrongAnswerError(f"unexpected event {event[:80]!r}")
        data = event.removeprefix(b"data: ")
        if data == DONE:
            self._take_end()
            return
        try:
            self._take_chunk(msgspec.json.decode(data))
        except (msgspec.DecodeError, KeyError, IndexError) as exc:
            raise WrongAnswerError(f"unreadable event {event[:80]!r}") from exc

    def _take_end(self) -> None:
        if not self._finished:
            raise WrongAnswerError(f"end mark after {self.tokens} tokens")
        self.done = True

    def _take_chunk(self, chunk: dict[str, Any]) -> None:
        self._id = self._id or chunk["id"]
        if chunk["id"] != self._id:
            raise WrongAnswerError(f"chunk of {chunk['id']} in the stream of {self._id}")
        choice = chunk["choices"][0]
        if choice["finish_reason"] is not None:
            self._take_finish(chunk)
            return
        text = choice["delta"]["content"] if self._ask.chat else choice["text"]
        wanted = token_text(self._digest, self.tokens)
        if text != wanted or chunk["offset"] != self.tokens:
            raise WrongAnswerError(f"token {text!r} at {chunk['offset']}, {wanted!r} wanted")
        self.tokens += 1

    def _take_finish(self, chunk: dict[str, Any]) -> None:
        counted = chunk["usage"]["completion_tokens"]
        if not self.tokens == counted == self._ask.max_tokens:
            raise WrongAnswerError(
                f"{self.tokens} tokens came, {counted} counted, {self._ask.max_tokens} wanted"
            )
        self._finished = True
