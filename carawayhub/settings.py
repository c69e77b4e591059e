"""Settings of one process: a file in JSON with comments, checked before anything starts."""

from pathlib import Path
from typing import TypeVar

import msgspec
import tree_sitter_json
from tree_sitter import Language, Node, Parser

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import CommandError

LEAST_KEY_LENGTH = 16


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
    """Return the settings in the bytes of a file called ``name``."""
    try:
        settings = msgspec.json.decode(_without_comments(content), type=kind)
    except msgspec.DecodeError as exc:
        raise CommandError(Code.SETTINGS_INVALID, f"{name}: {exc}") from exc
    _check(settings, name)
    return settings


def _check(settings: _Common, name: str) -> None:
    if len(settings.system_key) < LEAST_KEY_LENGTH:
        detail = f"{name}: system_key: write at least {LEAST_KEY_LENGTH} characters"
        raise CommandError(Code.SETTINGS_INVALID, detail)
    addresses = [settings.peer_listen, settings.operator_listen, *settings.seeds]
    if settings.peer_address:
        addresses.append(settings.peer_address)
    if isinstance(settings, EntrySettings):
        addresses.append(settings.listen)
    for text in addresses:
        try:
            Address.parse(text)
        except ValueError as exc:
            raise CommandError(Code.SETTINGS_INVALID, f"{name}: {exc}") from exc


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
