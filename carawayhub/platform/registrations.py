"""Decodes the entries of endpoints in the platform's store into the gateway's types.

Other programs write to the same store, so an entry is accepted only if it is complete: every field
that an endpoint writes must be present, with the right type and a known value.
"""

import json
import re
from collections.abc import Sequence
from ipaddress import IPv4Address
from typing import Annotated, Any

import msgspec

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.gateway.model import Endpoint, EndpointState, GroupMembership, Incarnation
from carawayhub.gateway.revision import Revision
from carawayhub.platform.answers import UNREADABLE
from carawayhub.wirenumbers import Count

ENDPOINT_PREFIX = "servers/"
MS_PER_SECOND = 1000.0

UNREGISTERED = Revision()

MAX_SLOTS = 65_536
"""Most concurrent requests that an endpoint may announce: more than any engine has, and few enough
that an entry of another program cannot attract all requests."""

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}
_FORMED = {"open": True, "broken": False}
_REPLICA = re.compile(r"[A-Za-z0-9._:-]{1,190}")

Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Group(msgspec.Struct, frozen=True, rename={"name": "Name", "state": "State"}):
    name: Text
    epoch: Count
    rank: Count
    state: str


class _Beat(
    msgspec.Struct,
    frozen=True,
    rename={
        "service": "Service",
        "address": "Address",
        "zone": "Zone",
        "software": "Version",
        "slots": "Slots",
        "state": "State",
        "cold_left_ms": "ColdLeftMs",
        "number": "Seq",
    },
):
    """Entry of an endpoint; ``born`` is its start as Unix time in milliseconds."""

    service: Text
    address: str
    zone: Text
    software: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    number: Count
    born: Count = 0
    group: _Group | None = None
    size: Count = 0


def decode_endpoint(key: str, value: bytes, registered: Revision = UNREGISTERED) -> Endpoint:
    """Decode the endpoint that registered itself under ``key`` at a revision.

    Raises:
        PlatformError: PLATFORM_MALFORMED with the field that cannot be decoded.
    """
    try:
        _reject_repeated_fields(value)
        return _endpoint(replica_of(key), msgspec.json.decode(value, type=_Beat), registered)
    except UNREADABLE as exc:
        raise PlatformError(Code.PLATFORM_MALFORMED, f"{key}: {exc}") from exc


def replica_of(key: str) -> str:
    """Return the id of the replica whose entry is stored under ``key``.

    Raises:
        ValueError: The key has no valid replica id; an invalid id could not be sent in a header.
    """
    replica = key.removeprefix(ENDPOINT_PREFIX)
    if not _REPLICA.fullmatch(replica):
        raise ValueError("the key has no valid replica id")
    return replica


def _endpoint(replica: str, beat: _Beat, registered: Revision) -> Endpoint:
    incarnation = Incarnation(replica, beat.born)
    return Endpoint(
        id=incarnation.id,
        incarnation=incarnation,
        service=beat.service,
        address=_address(beat.address),
        failure_domain=beat.zone,
        places=beat.slots,
        state=_lookup("State", beat.state, _STATES),
        membership=_seat(beat.group, beat.size),
        registered=registered,
        cold_left=beat.cold_left_ms / MS_PER_SECOND,
    )


def _seat(group: _Group | None, size: int) -> GroupMembership | None:
    if group is None:
        return None
    formed = _lookup("State", group.state, _FORMED)
    return GroupMembership(group.name, group.epoch, group.rank, formed, size)


def _lookup(field: str, text: str, values: dict[str, Any]) -> Any:
    if text not in values:
        raise ValueError(f"{field} has the unknown value {text!r}")
    return values[text]


def _address(text: str) -> Address:
    address = Address.parse(text)
    IPv4Address(address.host)
    if not address.port:
        raise ValueError(f"{text!r} has no port")
    return address


def _reject_repeated_fields(value: bytes) -> None:
    """Raise if an object repeats a field, since it is unknown which value its writer meant."""
    json.loads(value, object_pairs_hook=_unique_fields, parse_constant=_reject_constant)


def _unique_fields(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a field is repeated")
    return found


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not valid JSON")
