"""A registry of implementations that settings select by name.

Owns: the registered entries.
Relies on: modules being imported before their entries are looked up.
"""

import typing as t

from ..exceptions import UnknownNameError

T = t.TypeVar("T")


class Registry(t.Generic[T]):
    """A mapping from names to implementations.

    :param kind: kind of the entries, for error messages.
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

        :raises ValueError: by the decorator, if the name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry that is registered under a name.

        :raises UnknownNameError: if there is none.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownNameError(self._kind, name, self.names) from None
