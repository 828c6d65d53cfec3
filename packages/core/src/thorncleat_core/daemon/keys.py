"""Keys of callers and operators. Only digests are ever kept.

Owns: nothing.
Relies on: keys being long and random, so that a plain digest keeps them.
"""

import hashlib
import hmac
import re

_DIGEST = re.compile(r"[0-9a-f]{64}")


def digest(key: str) -> str:
    """Return the digest under which a key is kept: SHA-256, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_digest(text: str) -> bool:
    """Return whether a text has a digest's form."""
    return _DIGEST.fullmatch(text) is not None


def are_equal(one: str, other: str) -> bool:
    """Compare two digests in constant time."""
    return hmac.compare_digest(one, other)


def parse_bearer(header: str | None) -> str | None:
    """Return the key of an ``Authorization: Bearer`` header, or None."""
    scheme, _, key = (header or "").partition(" ")
    key = key.strip()
    return key if scheme.lower() == "bearer" and key else None
