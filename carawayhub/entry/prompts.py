"""Hashes of prompts: blocks in the way engines identify their cache blocks, and messages.

The prompt's text is split into blocks of 64 characters; messages are written as ``role: text`` and
joined by newlines. Each block's hash is BLAKE2b (8 bytes) over the previous hash and the block, so
that it identifies all of the text up to its end. To support an engine that uses another format,
only this module has to change.
"""

import hashlib
from itertools import islice

import msgspec

from carawayhub.limits.fingerprint import MAX_PARTS, part_fingerprint

BLOCK_CHARS = 64
HASH_BYTES = 8
MAX_BLOCKS = 64


class _Message(msgspec.Struct):
    role: str = ""
    content: str | list[msgspec.Raw] | None = None


class _Prompt(msgspec.Struct):
    messages: list[_Message] | None = None
    prompt: str | list[msgspec.Raw] | None = None


class _Conversation(msgspec.Struct):
    model: str = ""
    messages: list[msgspec.Raw] = []


def prompt_blocks(body: bytes) -> tuple[int, ...]:
    """Return the hashes of the leading full blocks of a model call's prompt, at most 64.

    The text ends before the first message that is not plain text, for example one with images. A
    ``prompt`` that is not a string has no blocks.
    """
    try:
        fields = msgspec.json.decode(body, type=_Prompt)
    except (msgspec.DecodeError, RecursionError):
        return ()
    return _hashes(_text(fields))


def prompt_parts(body: bytes) -> tuple[bytes, ...]:
    """Return the fingerprints of the messages of a model call that other calls may share.

    That is all but the last one. Unlike the hash of a block, that of a message does not depend on
    what is before it.
    """
    try:
        fields = msgspec.json.decode(body, type=_Conversation)
    except (msgspec.DecodeError, RecursionError):
        return ()
    shared = dict.fromkeys(bytes(each) for each in fields.messages[:-1])
    model = fields.model.encode()
    return tuple(part_fingerprint(model, each) for each in islice(shared, MAX_PARTS))


def _text(fields: _Prompt) -> str:
    if fields.messages is None:
        return fields.prompt if isinstance(fields.prompt, str) else ""
    lines: list[str] = []
    for message in fields.messages:
        if not isinstance(message.content, str):
            break
        lines.append(f"{message.role}: {message.content}")
    return "\n".join(lines)


def _hashes(text: str) -> tuple[int, ...]:
    blocks: list[int] = []
    before = b""
    for start in range(0, min(len(text), MAX_BLOCKS * BLOCK_CHARS) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS].encode("utf-8", "replace")
        before = hashlib.blake2b(before + block, digest_size=HASH_BYTES).digest()
        blocks.append(int.from_bytes(before, "big"))
    return tuple(blocks)
