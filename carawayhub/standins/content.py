"""Answers that are a function of their request, so that an observer can check every token.

The text of a model's answer depends on the model's name and on the prompt alone. Callers put their
own request id into the prompt, which makes each answer unlike any other: a wrong, mixed or short
answer is told from its text.
"""

import hashlib
from dataclasses import dataclass

import msgspec

DIGEST_CHARS = 12
DEFAULT_MAX_TOKENS = 16


@dataclass(slots=True)
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str


@dataclass(slots=True)
class GenerateBody:
    """The fields of a model request that the stand-ins read."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | None = None
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False

    @property
    def text(self) -> str:
        """The whole prompt."""
        if self.messages is None:
            return self.prompt or ""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)

    @property
    def digest(self) -> str:
        """What the answer is made from."""
        return digest_of(f"{self.model}\n{self.text}".encode())


def decode_generate_body(body: bytes) -> GenerateBody:
    """Read a model request.

    Raises:
        msgspec.ValidationError: A field is missing or has the wrong type.
    """
    return msgspec.json.decode(body, type=GenerateBody)


def digest_of(data: bytes) -> str:
    """Return a short digest that identifies ``data``."""
    return hashlib.sha256(data).hexdigest()[:DIGEST_CHARS]


def token_text(digest: str, index: int) -> str:
    """Return token ``index`` of the answer to the request with ``digest``."""
    return f" {digest}.{index}"


def answer_text(digest: str, tokens: int) -> str:
    """Return the whole answer of ``tokens`` tokens."""
    return "".join(token_text(digest, index) for index in range(tokens))
