"""API keys of callers and operators, of which only digests are stored.

Owns: nothing.
Relies on: long random keys, for which a digest without salt is safe.
"""

import hashlib
import hmac
import re

_DIGEST = re.compile(r"[0-9a-f]{64}")


def digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_digest(text: str) -> bool:
    """Return whether a text has the form of a digest."""
    return _DIGEST.fullmatch(text) is not None


def are_equal(first: str, second: str) -> bool:
    """Return whether two digests are equal, in constant time."""
    return hmac.compare_digest(first, second)


def parse_bearer(header: str | None) -> str | None:
    """Return the key in the value of an ``Authorization: Bearer`` header, or None."""
    scheme, _, key = (header or "").partition(" ")
    key = key.strip()
    return key if scheme.lower() == "bearer" and key else None
