"""Settings of one process: a file in JSON with comments, checked before anything starts."""

import ipaddress
import re
from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar
from urllib.parse import urlsplit

import msgspec
import tree_sitter_json
from tree_sitter import Language, Node, Parser

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import CommandError

LEAST_KEY_LENGTH = 16
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")

_BYTE = re.compile(r"\(byte (\d+)\)")


class _Common(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What entries and agents both need.

    Attributes:
        name: Name of this process in the configuration.
        vm: Name of its VM in the platform's list.
        failure_domain: Where it stands.
        region: The region of that failure domain.
        peer_listen: ``ip:port`` for the links between processes; connections go out from its IP
            number.
        peer_address: ``ip:port`` at which peers find it, where that is not ``peer_listen``.
        operator_listen: ``ip:port`` of the operators' HTTP endpoints.
        platform: Base address of the platform's services.
        system_key: The secret that all processes of the system share.
        seeds: Peer addresses to ask for the configuration when the platform is down.
        log_level: Least level of log lines that are written.
    """

    name: str
    vm: str
    failure_domain: str
    region: str
    peer_listen: str
    operator_listen: str
    platform: str
    system_key: str
    peer_address: str = ""
    seeds: tuple[str, ...] = ()
    log_level: str = "INFO"


class EntrySettings(_Common, kw_only=True, forbid_unknown_fields=True):
    """Settings of an entry.

    Attributes:
        listen: ``ip:port`` that callers connect to.
    """

    listen: str


class AgentSettings(_Common, kw_only=True, forbid_unknown_fields=True):
    """Settings of an agent; its ``name`` is that of the endpoint beside it."""


Settings = EntrySettings | AgentSettings
Kind = TypeVar("Kind", bound=_Common)


def load_settings(path: Path, kind: type[Kind]) -> Kind:
    """Return the settings in a file.

    Raises:
        CommandError: SETTINGS_INVALID with the file, the key and what to do.
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        raise CommandError(Code.SETTINGS_INVALID, f"{path}: {exc.strerror}") from exc
    return parse_settings(content, str(path), kind)


def parse_settings(content: bytes, name: str, kind: type[Kind]) -> Kind:
    """Return the settings in the bytes of a file called ``name``.

    Raises:
        CommandError: SETTINGS_INVALID with the file, the key and what to do.
    """
    if not content.strip():
        raise CommandError(Code.SETTINGS_INVALID, f"{name}: the file is empty")
    try:
        settings = msgspec.json.decode(_without_comments(content), type=kind)
    except (msgspec.DecodeError, RecursionError) as exc:
        detail = f"{name}: {_with_line(str(exc), content)}"
        raise CommandError(Code.SETTINGS_INVALID, detail) from exc
    for problem in _problems(settings):
        raise CommandError(Code.SETTINGS_INVALID, f"{name}: {problem}")
    return settings


def _with_line(message: str, content: bytes) -> str:
    """Return the message of the parser with the line in place of the byte."""
    found = _BYTE.search(message)
    if found is None:
        return message
    line = content.count(b"\n", 0, int(found[1])) + 1
    return message.replace(found[0], f"(line {line})")


def _problems(settings: _Common) -> Iterator[str]:
    """Give what is wrong with values of the right type, with the key that has each."""
    if len(settings.system_key) < LEAST_KEY_LENGTH:
        yield f"system_key: write at least {LEAST_KEY_LENGTH} characters"
    if settings.log_level.upper() not in LOG_LEVELS:
        yield f"log_level: write one of {', '.join(LOG_LEVELS)}"
    if not _is_url(settings.platform):
        yield f"platform: {settings.platform!r} is not an address such as http://10.10.0.5:7100"
    for key, text in _addresses(settings):
        if not _is_address(text):
            yield f"{key}: {text!r} is not ip:port"


def _addresses(settings: _Common) -> Iterator[tuple[str, str]]:
    yield "peer_listen", settings.peer_listen
    yield "operator_listen", settings.operator_listen
    if settings.peer_address:
        yield "peer_address", settings.peer_address
    if isinstance(settings, EntrySettings):
        yield "listen", settings.listen
    for seed in settings.seeds:
        yield "seeds", seed


def _is_url(text: str) -> bool:
    try:
        url = urlsplit(text)
        return url.scheme in ("http", "https") and bool(url.hostname) and url.port != 0
    except ValueError:
        return False


def _is_address(text: str) -> bool:
    """Return whether the text is an IP number and a port; names would need a resolver."""
    try:
        ipaddress.ip_address(Address.parse(text).host)
    except ValueError:
        return False
    return True


def _without_comments(content: bytes) -> bytes:
    root = Parser(Language(tree_sitter_json.language())).parse(content).root_node
    text = bytearray(content)
    for node in _comments(root):
        text[node.start_byte : node.end_byte] = b" " * (node.end_byte - node.start_byte)
    return bytes(text)


def _comments(node: Node) -> list[Node]:
    if node.type == "comment":
        return [node]
    return [found for child in node.children for found in _comments(child)]
