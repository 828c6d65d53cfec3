"""The failure domains that operators have evacuated, as the store's records show them.

The platform's adapter translates the operators' requests into these records; no daemon writes them.

Owns: nothing.
Relies on: :mod:`.view` for the records.
"""

import typing as t

# Prefix of the keys; the failure domain follows, and the content is ignored.
EVACUATIONS_PREFIX = "thorncleat/evacuations/"


def evacuated_domains(keys: t.Iterable[str]) -> frozenset[str]:
    """Return the evacuated failure domains.

    :param keys: of all records.
    """
    return frozenset(
        key.removeprefix(EVACUATIONS_PREFIX) for key in keys if key.startswith(EVACUATIONS_PREFIX)
    )
