"""Bounds the memory of what callers have sent and no request has taken, or what they don't read.

Heads, bodies of requests that wait for another one of their connection, and answers. If there is no
room, the connection that has been charged for longest is closed, unless its request is complete.

Owns: the bytes charged to each connection.
Relies on: :mod:`.connection` to charge what its connection takes.
"""

import typing as t

from .connection_table import Connection

# Memory of one field of a head, besides its bytes: its name, its value and the tuples of the two.
FIELD_BYTES = 512
# Copies of the bytes of a head, by the parser and the request.
HEAD_COPIES = 2
# Fields of a head that aren't charged, so that ordinary requests cost nothing here.
FREE_FIELDS = 64


def head_bytes(size: int, fields: int) -> int:
    """Return the memory of an unfinished head.

    :param size: its bytes as received.
    """
    return size * HEAD_COPIES + fields * FIELD_BYTES


def request_bytes(fields: int) -> int:
    """Return the memory of a complete head, without that of an ordinary one."""
    return max(0, fields - FREE_FIELDS) * FIELD_BYTES


class PendingMemory:
    """The bytes charged to connections.

    :param limit: bytes of all connections.
    :param is_replaceable: returns whether a connection may be closed for another one.
    :param drop: closes a connection for want of memory.
    :ivar held: bytes charged to all connections.
    """

    def __init__(
        self,
        limit: int,
        is_replaceable: t.Callable[[Connection], bool],
        drop: t.Callable[[Connection], None],
    ) -> None:
        self._limit = limit
        self._is_replaceable = is_replaceable
        self._drop = drop
        # In the order in which they were charged first.
        self._charges: dict[Connection, int] = {}
        self.held = 0

    def charge(self, connection: Connection, size: int) -> bool:
        """Set the bytes of a connection; others are closed if there is no room.

        :returns: False if there is none even so.
        """
        self.held += size - self._charges.get(connection, 0)
        if size:
            self._charges[connection] = size
        else:
            self._charges.pop(connection, None)
        while self.held > self._limit:
            longest = self._longest_charged(connection)
            if longest is None:
                return False
            self.release(longest)
            self._drop(longest)
        return True

    def _longest_charged(self, newcomer: Connection) -> Connection | None:
        """Return the connection that is to be closed for another one; None if there is none."""
        for connection in self._charges:
            if connection is not newcomer and self._is_replaceable(connection):
                return connection
        return None

    def release(self, connection: Connection) -> None:
        """Forget the bytes of a connection that has ended."""
        self.held -= self._charges.pop(connection, 0)
