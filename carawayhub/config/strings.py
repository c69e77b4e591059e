"""Values that are written as strings: addresses, times, digests, methods and paths."""

import math
import re
import sys
from datetime import datetime
from enum import Enum
from ipaddress import ip_address
from urllib.parse import urlsplit

from carawayhub.config.kinds import (
    Address,
    Choice,
    Credential,
    Instant,
    Kind,
    Method,
    RoutePath,
    Text,
    Url,
)

_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*")
_HEX = re.compile(r"sha256:([0-9a-f]{64})")
_MAX_PORT = 65_535


def parse(text: str, kind: Kind) -> object:
    """Return the value that a string gives.

    Raises:
        ValueError: The string does not fit; the message goes on from it and says what is wanted.
    """
    match kind:
        case Text(shared=shared):
            return sys.intern(text) if shared else text
        case Choice(options=options):
            return _option(text, options)
        case Address():
            return _address(text)
        case Url():
            return _url(text)
        case Instant():
            return _instant(text)
        case Credential():
            return _credential(text)
        case Method():
            return _one_of(text, _METHODS)
        case RoutePath():
            return _route_path(text)
        case _:
            raise TypeError(f"{kind} is no kind of string")


def _option(text: str, options: tuple[Enum, ...]) -> Enum:
    for option in options:
        if option.value == text:
            return option
    raise ValueError(f"is not one of {', '.join(str(option.value) for option in options)}")


def _one_of(text: str, known: tuple[str, ...]) -> str:
    if text not in known:
        raise ValueError(f"is not one of {', '.join(known)}")
    return sys.intern(text)


def _address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("is no ip:port, for example 10.0.0.1:7000")
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        number = ip_address(bare)
    except ValueError:
        raise ValueError("is no ip:port; write an IP number, names are not looked up") from None
    if (number.version == 6) != (bare != host):
        raise ValueError("is no ip:port; write an IPv6 number in brackets, for example [::1]:7000")
    return text


def _url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or parts.query or parts.fragment or parts.username:
        raise ValueError("is no base address, for example http://10.0.0.1:8000")
    _address(parts.netloc)
    return text.rstrip("/")


def _instant(text: str) -> float:
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError("is no time such as 2027-01-10T08:00:00Z") from None
    if moment.tzinfo is None:
        raise ValueError("names no time zone; end it with Z or an offset")
    seconds = moment.timestamp()
    if not math.isfinite(seconds) or seconds <= 0:
        raise ValueError("lies before 1970")
    return seconds


def _credential(text: str) -> str:
    found = _HEX.fullmatch(text)
    if found is None:
        raise ValueError("is not sha256: and 64 lower-case hex digits; give the digest of the key")
    return found[1]


def _route_path(text: str) -> str:
    if not text.startswith("/") or "*" in text[:-1] or "?" in text or " " in text:
        raise ValueError("is no path such as /v1/bookings or /v1/lookup/*")
    return text
