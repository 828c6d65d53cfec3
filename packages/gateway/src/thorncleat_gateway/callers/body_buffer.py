"""Holds the body of one request while it arrives.

Small pieces are joined as they come, since each one by itself takes more than its bytes. Blocks of
one size leave no holes in the memory of a process that receives many bodies at once.

Owns: the bytes of the body.
Relies on: nothing.
"""

# Size of the blocks.
BLOCK_BYTES = 65_536


class BodyBuffer:
    """The bytes of a body that have arrived.

    :ivar size: how many there are.
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._last = bytearray()
        self.size = 0

    def add(self, data: bytes) -> None:
        """Add a piece."""
        self.size += len(data)
        self._last += data
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def join(self) -> bytes:
        """Return the whole body."""
        if not self._blocks:
            return bytes(self._last)
        return b"".join([*self._blocks, self._last])

    def clear(self) -> None:
        """Release the bytes, also if an error's traceback still refers to this buffer."""
        self._blocks.clear()
        self._last = bytearray()
        self.size = 0
