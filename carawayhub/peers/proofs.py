"""Proof that a call comes from a process that holds the system key.

Each call carries its sender's name, a fresh random nonce and an HMAC-SHA256 over method, sender and
nonce. The receiver stores recent nonces and rejects a replayed call while its nonce is stored. The
proof guards against unauthorized and misdirected processes; it does not encrypt the content.
"""

import hashlib
import hmac
import secrets
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from carawayhub.codes import Code
from carawayhub.errors import PeerError

SENDER = "carawayhub-sender"
NONCE = "carawayhub-nonce"
PROOF = "carawayhub-proof"
MAX_STORED_NONCES = 20_000


class Prover:
    """Signs outgoing calls and checks incoming ones with the system key.

    Args:
        system_key: The secret that all processes of one system share.
        name: Name of this process.
    """

    __slots__ = ("_key", "_name", "_seen")

    def __init__(self, system_key: str, name: str) -> None:
        self._key = system_key.encode()
        self._name = name
        self._seen: OrderedDict[str, None] = OrderedDict()

    def sign(self, method: str) -> dict[str, str]:
        """Return call metadata that authenticates this process to the receiver."""
        nonce = secrets.token_hex(12)
        return {SENDER: self._name, NONCE: nonce, PROOF: self._mac(method, self._name, nonce)}

    def check(self, method: str, metadata: Mapping[str, Any] | None) -> str:
        """Return the sender's name.

        Raises:
            PeerError: PEER_UNAUTHENTICATED if the proof is missing, invalid or was used before.
        """
        fields = metadata or {}
        sender = str(fields.get(SENDER, ""))
        nonce = str(fields.get(NONCE, ""))
        proof = str(fields.get(PROOF, ""))
        if not nonce or not hmac.compare_digest(proof, self._mac(method, sender, nonce)):
            raise PeerError(Code.PEER_UNAUTHENTICATED, f"{method} from {sender or 'nobody'}")
        if nonce in self._seen:
            raise PeerError(Code.PEER_UNAUTHENTICATED, f"{method} repeats a nonce of {sender}")
        self._seen[nonce] = None
        if len(self._seen) > MAX_STORED_NONCES:
            self._seen.popitem(last=False)
        return sender

    def _mac(self, method: str, sender: str, nonce: str) -> str:
        text = f"{method}\n{sender}\n{nonce}".encode()
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()
