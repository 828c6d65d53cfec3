"""Bodies of answers in virtual time, as the client library gives them."""


class WholeBody:
    """A body that is there at once."""

    def __init__(self, body: bytes) -> None:
        self._rest = body

    async def readany(self) -> bytes:
        data, self._rest = self._rest, b""
        return data
