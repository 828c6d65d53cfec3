"""What a request asks for, as a digest that all tries of it share, at any daemon.

Owns: nothing.
Relies on: BLAKE2, by which content can't be read from its digest, nor be made to match the digest
of other content.
"""

import hashlib
import typing as t

Fingerprint = t.NewType("Fingerprint", bytes)

# bytes of a digest: wide enough that no two requests share one by chance
DIGEST_BYTES = 16
# of the digest, so that it equals no other program's digest of the same content
PERSON = b"thorncleat"
# bytes that tell the length of each part before the last, so that no two lists of parts are alike
LENGTH_BYTES = 4


def of(workspace: str, host: str, path: str, body: bytes) -> Fingerprint:
    """Return the digest of a request.

    What differs between two tries is left out: the id, the deadline, the last event.

    :param workspace: an empty string where no key is asked for.
    :param path: with the query.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=PERSON)
    for part in (workspace.encode(), host.lower().encode(), path.encode()):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.digest())
