"""Authentication of HTTP requests and answers by the fleet's key file.

A request carries a `MAC` header: base64url of a nonce (12 bytes), the key's id (1) and a keyed
BLAKE2b (16) over nonce, path and body.  The answer's MAC is over the request's nonce and the
answer's body, so an answer that was recorded earlier is not taken for this request's.

Not covered: a recorded *request* can be sent again by who reads the network.  Whether a message
that comes twice does harm is the business of its receiver; see `docs/design/distribution.md`.
Nothing is encrypted.
"""

from __future__ import annotations

import base64
import binascii
import secrets
from dataclasses import dataclass

from violetroute.sharing.wire import SEAL_BYTES, Keys

HEADER = "MAC"
HEADER_NAME = b"mac"  # as h11 gives it
NONCE_BYTES = 12
SIGNATURE_BYTES = 1 + SEAL_BYTES
REQUEST_PURPOSE, ANSWER_PURPOSE = b"lb-http-request", b"lb-http-answer"


@dataclass(frozen=True, slots=True)
class RequestSignature:
    """A request's nonce, and the key's id and MAC."""

    nonce: bytes
    signature: bytes

    @property
    def key_id(self) -> bytes:
        """The key that the request was signed with; the answer is signed with the same."""
        return self.signature[:1]

    def header(self) -> str:
        """The header's value."""
        return _encoded(self.nonce + self.signature)


def sign_request(keys: Keys, path: str, body: bytes) -> RequestSignature:
    """Signed with the first key of the file, under a fresh nonce."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return RequestSignature(nonce, keys.sign(REQUEST_PURPOSE, _request_data(nonce, path, body)))


def parse_request_header(value: bytes) -> RequestSignature | None:
    """None for a value that cannot be a signature."""
    data = _decoded(value)
    if data is None or len(data) != NONCE_BYTES + SIGNATURE_BYTES:
        return None
    return RequestSignature(data[:NONCE_BYTES], data[NONCE_BYTES:])


def verify_request(keys: Keys, sign: RequestSignature, path: str, body: bytes) -> bool:
    """Whether a holder of one of our keys signed this path and body."""
    return keys.verify(REQUEST_PURPOSE, _request_data(sign.nonce, path, body), sign.signature)


def sign_answer(keys: Keys, request: RequestSignature, body: bytes) -> str:
    """The answer's header value.  KeyError where the request's key is no longer known."""
    return _encoded(keys.sign(ANSWER_PURPOSE, request.nonce + body, request.key_id))


def verify_answer(keys: Keys, request: RequestSignature, header: bytes, body: bytes) -> bool:
    """Whether a holder of one of our keys gave this body as the answer to this very request."""
    signature = _decoded(header)
    if signature is None or len(signature) != SIGNATURE_BYTES:
        return False
    return keys.verify(ANSWER_PURPOSE, request.nonce + body, signature)


def _request_data(nonce: bytes, path: str, body: bytes) -> bytes:
    return b"%b%b\0%b" % (nonce, path.encode(), body)


def _encoded(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decoded(value: bytes) -> bytes | None:
    try:
        return base64.b64decode(value + b"=" * (-len(value) % 4), b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None
