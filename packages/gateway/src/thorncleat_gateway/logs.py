"""Rate-limited, non-blocking logging as JSON lines.

Owns: the unwritten rest of a line, and the number of dropped lines.
Relies on: :mod:`thorncleat_core.log_events` for the format of a line.
"""

import logging
import os

from thorncleat_core import clock as boot_clock
from thorncleat_core.clock import Clock
from thorncleat_core.log_events import install_handler
from thorncleat_core.log_events import json_formatter

from . import events

MAX_LINES_PER_SECOND = 200
MAX_BURST_LINES = 600


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking descriptor at a limited rate.

    Lines that exceed the rate, or that the reader doesn't read in time, are dropped; a later line
    logs their number.

    :param descriptor: a non-blocking file descriptor.
    :param clock: a clock that never goes back, in seconds.
    """

    def __init__(self, descriptor: int, clock: Clock = boot_clock.now) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = float(MAX_BURST_LINES)
        self._filled_at = clock()
        self._unwritten = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line, or count it as dropped."""
        now = self._clock()
        refill = (now - self._filled_at) * MAX_LINES_PER_SECOND
        self._tokens = min(float(MAX_BURST_LINES), self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1 or not self._write(b""):
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            dropped_count, self.dropped = self.dropped, 0
            events.LINES_DROPPED.log(count=dropped_count)
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> bool:
        """Write the unwritten rest and a line; return whether everything was written."""
        data = self._unwritten + line
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Lines for a broken descriptor are discarded.
            written = len(data)
        self._unwritten = data[written:]
        return not self._unwritten


def setup(level: str, daemon: str, descriptor: int = 1) -> BoundedHandler:
    """Send all log records to a descriptor, one JSON object per line.

    :param level: the lowest level to write.
    :param daemon: id of this daemon, which each line contains.
    :param descriptor: the file descriptor to write to, which is made non-blocking.
    """
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(json_formatter("%(created)f", daemon))
    install_handler(handler, level)
    return handler
