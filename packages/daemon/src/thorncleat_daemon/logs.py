"""Logging as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def setup(level: str, daemon: str) -> None:
    """Send all logging to standard error, a JSON object a line.

    :param level: the lowest level that is written.
    :param daemon: this daemon's id, put into each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name_": "name"},
        static_fields={"daemon": daemon},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("thorncleat").setLevel(level.upper())
    # the libraries' own reports of ordinary disconnects say nothing an operator can use
    for noisy in ("aiohttp.server", "asyncio", "mode"):
        logging.getLogger(noisy).setLevel(logging.CRITICAL)
