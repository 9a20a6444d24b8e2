"""The identity of a request, which all of its submissions share."""

from __future__ import annotations

import hashlib

IDENTITY_BYTES = 16


def identify(method: str, host: str, target: str, caller: str, body: bytes) -> str:
    """Return the identity of a request in hexadecimal.

    It does not depend on the id of a submission or on its other header fields. The hash is
    cryptographic, so that a caller cannot make a request with the identity of another one.

    :param target: path and query.
    :param caller: customer that sends the request, empty without customers.
    """
    identity = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in (method, host.lower(), target, caller):
        text = part.encode()
        identity.update(len(text).to_bytes(8, "big"))
        identity.update(text)
    identity.update(body)
    return identity.hexdigest()
