"""MessagePack codec for calls between the processes of a system.

``grpclib`` accepts any codec. ``msgspec`` encodes typed classes without generated code, which also
avoids loading the protobuf runtime into the 64 MB that a process may use.
"""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from carawayhub.codes import Code
from carawayhub.errors import PeerError


class MessagePackCodec(CodecBase):
    """Encodes and decodes the message classes of ``carawayhub.peers``."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of ``message``."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``.

        Raises:
            PeerError: PEER_PROTOCOL where the bytes are not a ``message_type``.
        """
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        try:
            return decoder.decode(data)
        except msgspec.DecodeError as exc:
            raise PeerError(Code.PEER_PROTOCOL, str(exc)) from exc
