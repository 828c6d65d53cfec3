"""Logging as JSON lines on standard error.

Owns: the process's log handler.
Relies on: a reader of standard error, since writes block.
"""

import logging
import sys

from thorncleat_core.log_events import install_handler
from thorncleat_core.log_events import json_formatter


def setup(level: str, daemon: str) -> None:
    """Send all logging to standard error, one JSON object a line.

    :param level: the lowest level to write.
    :param daemon: this daemon's id, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(json_formatter("%(asctime)s", daemon))
    install_handler(handler, level)
