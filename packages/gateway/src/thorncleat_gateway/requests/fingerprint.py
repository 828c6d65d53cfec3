"""Digests that identify a request, or a part of its prompt, across retries and daemons.

Owns: nothing.
Relies on: BLAKE2, whose digests don't reveal the content and can't be forged.
"""

import hashlib
import typing as t

Fingerprint = t.NewType("Fingerprint", bytes)

# Long enough that no two requests share a digest by chance.
DIGEST_BYTES = 16
# The length tells the digest of a part of a prompt from that of a request, also at daemons that
# never saw either.
PART_DIGEST_BYTES = 12
# Personalization, so that other programs' digests of the same content differ.
PERSONALIZATION = b"thorncleat"
# Personalization of parts, so that no request has the digest of a part.
PART_PERSONALIZATION = b"thorncleat part"
# Length prefix of each part before the body, so that different lists of parts differ as bytes.
LENGTH_PREFIX_BYTES = 4


def of(workspace: str, host: str, path: str, body: bytes) -> Fingerprint:
    """Return the digest of a request.

    Headers are excluded, since the id, the deadline and the last event differ between retries.

    :param workspace: name of the workspace; empty if no key is required.
    :param path: includes the query.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=PERSONALIZATION)
    for part in (workspace, host.lower(), path):
        _add(digest, part)
    digest.update(body)
    return Fingerprint(digest.digest())


def of_part(service: str, part_id: str) -> Fingerprint:
    """Return the digest of a part of a prompt, which all requests of a service with it share."""
    digest = hashlib.blake2b(digest_size=PART_DIGEST_BYTES, person=PART_PERSONALIZATION)
    for part in (service, part_id):
        _add(digest, part)
    return Fingerprint(digest.digest())


def is_part(fingerprint: Fingerprint) -> bool:
    """Return whether a digest is that of a part of a prompt."""
    return len(fingerprint) == PART_DIGEST_BYTES


def _add(digest: "hashlib.blake2b", text: str) -> None:
    encoded = text.encode()
    digest.update(len(encoded).to_bytes(LENGTH_PREFIX_BYTES))
    digest.update(encoded)
