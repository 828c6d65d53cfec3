"""A TCP proxy that delays, blocks or resets the connections through it.

Owns: the connections and the mode.
Relies on: nothing.
"""

import asyncio
import contextlib
import enum
import socket
import struct

CHUNK_BYTES = 65_536
DEFAULT_DELAY_SECONDS = 0.2
# Time for the target to read what was held for it.
READ_SECONDS = 0.05
# SO_LINGER with a timeout of zero, which makes closing reset the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How a proxy treats connections.

    ``SILENCE`` blocks both directions, ``LOSE_ANSWERS`` and ``LOSE_REQUESTS`` one; ``RESET``
    resets new connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    LOSE_ANSWERS = "lose answers"
    LOSE_REQUESTS = "lose requests"
    RESET = "reset"


class Proxy:
    """Forwards connections to one address.

    :param target: ``host:port``.
    :ivar delay_seconds: delay of each chunk in the mode ``DELAY``.
    :ivar changed_at: time of the last change of the mode, on the loop's clock.
    :ivar address: ``host:port`` of the listener.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._mode = Mode.PASS
        self._mode_changed = asyncio.Event()
        self.delay_seconds = DEFAULT_DELAY_SECONDS
        self.changed_at = float("-inf")
        self.address = ""

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    @property
    def mode(self) -> Mode:
        """The mode of open and new connections."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        self._mode = mode
        self.changed_at = asyncio.get_running_loop().time()
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def start(self) -> str:
        """Listen on a free loopback port and return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    def stop_listening(self) -> None:
        """Refuse new connections and keep open ones."""
        assert self._server is not None
        self._server.close()

    async def listen_again(self) -> None:
        """Accept connections at the same address again."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        assert self._server is not None
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, Mode.LOSE_REQUESTS),
                self._copy(target_reader, writer, Mode.LOSE_ANSWERS),
            )
        finally:
            self._writers.discard(target_writer)
            target_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, blocking_mode: Mode
    ) -> None:
        has_held = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_seconds)
                if self.mode in (Mode.SILENCE, blocking_mode):
                    # As in a kernel, the chunk is passed on even if the connection is reset.
                    has_held = True
                    await self._wait_until_passing(blocking_mode)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionError:
            if has_held:
                # The reader gets what was held before it notices the reset.
                await asyncio.sleep(READ_SECONDS)
            writer.transport.abort()

    async def _wait_until_passing(self, blocking_mode: Mode) -> None:
        while self.mode in (Mode.SILENCE, blocking_mode):
            await self._mode_changed.wait()
