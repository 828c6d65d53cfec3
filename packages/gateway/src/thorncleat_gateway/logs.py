"""Logging as JSON lines on standard output: bounded, and never waiting for a reader.

Owns: the rest of a line that the reader had no room for, and how many lines were left out.
Relies on: :mod:`thorncleat_core.log_events` for the form of a line.
"""

import logging
import os

from thorncleat_core import clock as boot_clock
from thorncleat_core.clock import Clock
from thorncleat_core.log_events import install_handler
from thorncleat_core.log_events import json_formatter

from . import events

# written on average
LINES_PER_SECOND = 200
# written at once after a quiet time, three seconds' worth
BURST_LINES = 600


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor that doesn't block, at a bounded rate.

    Lines over the rate, and those that the reader has no room for, are counted and left out;
    a line says how many.

    :param clock: seconds that never go back.
    """

    def __init__(self, descriptor: int, clock: Clock = boot_clock.now) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = float(BURST_LINES)
        self._filled_at = clock()
        self._rest = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        now = self._clock()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(float(BURST_LINES), self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1 or not self._flush(b""):
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            events.LINES_DROPPED.log(count=lost)
        self._flush(self.format(record).encode() + b"\n")

    def _flush(self, line: bytes) -> bool:
        """Write what is left and a line; return whether all was written."""
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(data)
        self._rest = data[written:]
        return not self._rest


def setup(level: str, daemon: str, descriptor: int = 1) -> BoundedHandler:
    """Send all logging to a descriptor, a JSON object a line.

    :param level: the lowest level that is written.
    :param daemon: this daemon's id, put into each line.
    """
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(json_formatter("%(created)f", daemon))
    install_handler(handler, level)
    return handler
