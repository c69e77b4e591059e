"""Entries of endpoints in the platform's store, decoded into the gateway's types.

Other writers share the store, so an entry is believed only where it is whole: every field that an
endpoint writes is there, has its type and a value that is known.
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
from carawayhub.platform.answers import UNREADABLE

ENDPOINT_PREFIX = "servers/"

MOST_PLACES = 65_536
"""Requests that one endpoint may say it runs at once: more than any engine has, and few enough that
an entry of another writer cannot draw all requests to itself."""

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}
_FORMED = {"open": True, "broken": False}
_REPLICA = re.compile(r"[A-Za-z0-9._:-]{1,190}")

Count = Annotated[int, msgspec.Meta(ge=0)]
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
    """An entry; ``born`` is the Unix millisecond at which the endpoint started."""

    service: Text
    address: str
    zone: Text
    software: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MOST_PLACES)]
    state: str
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    number: Count
    born: Count = 0
    group: _Group | None = None
    size: Count = 0


def decode_endpoint(key: str, value: bytes, registered: int = 0) -> Endpoint:
    """Return the endpoint that registered itself under ``key`` at a revision.

    Raises:
        PlatformError: PLATFORM_MALFORMED with the field that cannot be read.
    """
    try:
        _refuse_repeated_fields(value)
        return _endpoint(replica_of(key), msgspec.json.decode(value, type=_Beat), registered)
    except UNREADABLE as exc:
        raise PlatformError(Code.PLATFORM_MALFORMED, f"{key}: {exc}") from exc


def replica_of(key: str) -> str:
    """Return the id of the replica whose entry stands under ``key``.

    Raises:
        ValueError: No replica has such an id; it could not be named in a header either.
    """
    replica = key.removeprefix(ENDPOINT_PREFIX)
    if not _REPLICA.fullmatch(replica):
        raise ValueError("the key names no replica")
    return replica


def _endpoint(replica: str, beat: _Beat, registered: int) -> Endpoint:
    incarnation = Incarnation(replica, beat.born)
    return Endpoint(
        id=incarnation.id,
        incarnation=incarnation,
        service=beat.service,
        address=_address(beat.address),
        failure_domain=beat.zone,
        places=beat.slots,
        state=_known("State", beat.state, _STATES),
        membership=_seat(beat.group, beat.size),
        registered=registered,
    )


def _seat(group: _Group | None, size: int) -> GroupMembership | None:
    if group is None:
        return None
    formed = _known("State", group.state, _FORMED)
    return GroupMembership(group.name, group.epoch, group.rank, formed, size)


def _known(field: str, text: str, values: dict[str, Any]) -> Any:
    if text not in values:
        raise ValueError(f"{field} is {text!r}, which is not known")
    return values[text]


def _address(text: str) -> Address:
    address = Address.parse(text)
    IPv4Address(address.host)
    if not address.port:
        raise ValueError(f"{text!r} names no port")
    return address


def _refuse_repeated_fields(value: bytes) -> None:
    """Raise where an object names a field twice: which of the two its writer meant is unknown."""
    json.loads(value, object_pairs_hook=_distinct, parse_constant=_refuse_constant)


def _distinct(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a field is named twice")
    return found


def _refuse_constant(text: str) -> None:
    raise ValueError(f"{text} is no JSON")
