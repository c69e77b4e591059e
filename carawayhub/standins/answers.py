"""The JSON shapes in which an engine answers, whole or as server-sent events."""

from dataclasses import dataclass
from typing import Any

import msgspec

from carawayhub.standins.content import GenerateBody, answer_text, token_text

CHARS_PER_TOKEN = 4
STREAM_END = b"data: [DONE]\n\n"


@dataclass(slots=True)
class AnswerShape:
    """Writes the answer to one request.

    Attributes:
        request_id: Id that each part of the answer carries.
        model: Name of the model.
        digest: What the text is made from.
        prompt_tokens: Length of the prompt.
        total: Tokens of the whole answer.
        chat: Whether the chat shape is wanted rather than the plain one.
    """

    request_id: str
    model: str
    digest: str
    prompt_tokens: int
    total: int
    chat: bool

    @classmethod
    def of(cls, request_id: str, body: GenerateBody, chat: bool) -> "AnswerShape":
        """Return the shape that ``body`` asks for."""
        prompt_tokens = -(-len(body.text) // CHARS_PER_TOKEN)
        total = max(body.max_tokens, 1)
        return cls(request_id, body.model, body.digest, prompt_tokens, total, chat)

    def token_event(self, index: int) -> bytes:
        """Return the event with token ``index``."""
        return self._event(index, token_text(self.digest, index), None)

    def end_events(self) -> bytes:
        """Return the event with the reason of the end and the count, and the end mark."""
        return self._event(self.total, "", "length") + STREAM_END

    def whole(self) -> dict[str, Any]:
        """Return the answer that is not streamed."""
        text = answer_text(self.digest, self.total)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        choice |= (
            {"message": {"role": "assistant", "content": text}} if self.chat else {"text": text}
        )
        return {
            "id": self.request_id,
            "object": "chat.completion" if self.chat else "text_completion",
            "model": self.model,
            "choices": [choice],
            "usage": self._usage(),
        }

    def _event(self, offset: int, text: str, finish: str | None) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        event: dict[str, Any] = {
            "id": self.request_id,
            "object": "chat.completion.chunk" if self.chat else "text_completion",
            "model": self.model,
            "offset": offset,
            "choices": [choice],
        }
        if finish is not None:
            event["usage"] = self._usage()
        return b"data: " + msgspec.json.encode(event) + b"\n\n"

    def _usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total,
            "total_tokens": self.prompt_tokens + self.total,
        }
