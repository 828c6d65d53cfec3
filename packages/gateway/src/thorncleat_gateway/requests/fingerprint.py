"""Digests that identify a request across retries and daemons.

Owns: nothing.
Relies on: BLAKE2, whose digests don't reveal the content and can't be forged.
"""

import hashlib
import typing as t

Fingerprint = t.NewType("Fingerprint", bytes)

# Long enough that no two requests share a digest by chance.
DIGEST_BYTES = 16
# Personalization, so that other programs' digests of the same content differ.
PERSONALIZATION = b"thorncleat"
# Length prefix of each part before the body, so that different lists of parts differ as bytes.
LENGTH_PREFIX_BYTES = 4


def of(workspace: str, host: str, path: str, body: bytes) -> Fingerprint:
    """Return the digest of a request.

    Headers are excluded, since the id, the deadline and the last event differ between retries.

    :param workspace: name of the workspace; empty if no key is required.
    :param path: includes the query.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=PERSONALIZATION)
    for part in (workspace.encode(), host.lower().encode(), path.encode()):
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.digest())
