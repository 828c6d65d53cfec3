"""Registries that decorators fill, for behaviour that varies by name.

Owns: the entries of each name.
Relies on: modules being imported before their names are looked up.
"""

import typing as t

from ..exceptions import UnknownNameError

T = t.TypeVar("T")


class Registry(t.Generic[T]):
    """Maps names to implementations.

    :param kind: what is registered, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """The registered names, sorted."""
        return sorted(self._entries)

    def register(self, name: str) -> t.Callable[[T], T]:
        """Return a decorator that registers its target under a name.

        :param name: the name to register; registering it twice is an error in the program.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered already")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry of a name.

        :raises UnknownNameError: if nothing is registered under it.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownNameError(self._kind, name, self.names) from None
