"""Logging as JSON lines on standard error.

Owns: the handler of the process.
Relies on: a reader of standard error; a write waits for it.
"""

import logging
import sys

from thorncleat_core.log_events import install_handler
from thorncleat_core.log_events import json_formatter


def setup(level: str, daemon: str) -> None:
    """Send all logging to standard error, a JSON object a line.

    :param level: the lowest level that is written.
    :param daemon: this daemon's id, put into each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(json_formatter("%(asctime)s", daemon))
    install_handler(handler, level)
