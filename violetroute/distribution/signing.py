"""Authenticates HTTP requests and answers with keyed hashes, using the fleet's key file.

A request carries a `MAC` header: base64url of a nonce (12 bytes), the key's id (1) and a keyed
BLAKE2b hash (16) over nonce, path and body.  The answer's MAC covers the request's nonce and the
answer's body, so that a recorded answer cannot be replayed for another request.

*Requests* have no replay protection: an attacker who can read the network can send a recorded one
again.  Each receiver must tolerate duplicate messages; see `docs/design/distribution.md`.  Nothing
is encrypted.
"""

from __future__ import annotations

import base64
import binascii
import secrets
from dataclasses import dataclass

from violetroute.sharing.wire import SEAL_BYTES, Keys

HEADER = "MAC"
HEADER_NAME = b"mac"  # in lower case, as h11 returns it
NONCE_BYTES = 12
SIGNATURE_BYTES = 1 + SEAL_BYTES
REQUEST_PURPOSE, ANSWER_PURPOSE = b"lb-http-request", b"lb-http-answer"


@dataclass(frozen=True, slots=True)
class RequestSignature:
    """A request's nonce, and its signature: the key's id followed by the keyed hash."""

    nonce: bytes
    signature: bytes

    @property
    def key_id(self) -> bytes:
        """Id of the key that the request was signed with; the answer must use the same key."""
        return self.signature[:1]

    def header(self) -> str:
        """The value of the `MAC` header."""
        return _encode(self.nonce + self.signature)


def sign_request(keys: Keys, path: str, body: bytes) -> RequestSignature:
    """Sign a request with the first key of the file and a new random nonce."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return RequestSignature(nonce, keys.sign(REQUEST_PURPOSE, _request_data(nonce, path, body)))


def parse_request_header(value: bytes) -> RequestSignature | None:
    """Parse a request's `MAC` header.  None if it does not have the form of a signature."""
    data = _decode(value)
    if data is None or len(data) != NONCE_BYTES + SIGNATURE_BYTES:
        return None
    return RequestSignature(data[:NONCE_BYTES], data[NONCE_BYTES:])


def verify_request(keys: Keys, request: RequestSignature, path: str, body: bytes) -> bool:
    """Whether the signature of this path and body was made with one of the fleet's keys."""
    return keys.verify(REQUEST_PURPOSE, _request_data(request.nonce, path, body), request.signature)


def sign_answer(keys: Keys, request: RequestSignature, body: bytes) -> str:
    """The `MAC` header of the answer.  Raises KeyError if the request's key is no longer known."""
    return _encode(keys.sign(ANSWER_PURPOSE, request.nonce + body, request.key_id))


def verify_answer(keys: Keys, request: RequestSignature, header: bytes, body: bytes) -> bool:
    """Whether the body was signed with one of the fleet's keys as the answer to this request."""
    signature = _decode(header)
    if signature is None or len(signature) != SIGNATURE_BYTES:
        return False
    return keys.verify(ANSWER_PURPOSE, request.nonce + body, signature)


def _request_data(nonce: bytes, path: str, body: bytes) -> bytes:
    return b"%b%b\0%b" % (nonce, path.encode(), body)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(value: bytes) -> bytes | None:
    try:
        return base64.b64decode(value + b"=" * (-len(value) % 4), b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None
