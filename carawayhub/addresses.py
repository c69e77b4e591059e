"""``ip:port`` addresses."""

from dataclasses import dataclass

MAX_PORT = 65535
LONGEST_PORT = 5


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port.

    Example:
        >>> Address.parse("127.0.0.1:8000")
        Address(host='127.0.0.1', port=8000)
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Read ``ip:port`` or ``[ipv6]:port``.

        Raises:
            ValueError: The text is not such an address.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not _is_port(port):
            raise ValueError(
                f"{text!r} is not ip:port; write an IP number and a port, for example 10.0.0.1:7000"
            )
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def _is_port(text: str) -> bool:
    if not (text.isascii() and text.isdecimal()) or len(text) > LONGEST_PORT:
        return False
    return int(text) <= MAX_PORT
