"""Numbered log events, their catalogue, and the form in which they are written.

Each program lists its events in a module of its own; the numbers are unique across programs.

Owns: the observers, which see each event whether its line is written or not.
Relies on: python-json-logger for the form of a line, and on a program's handler to write it.
"""

import dataclasses
import logging
import typing as t

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "thorncleat"
# libraries whose reports of ordinary disconnects say nothing an operator can use
NOISY_LOGGERS = ("aiohttp.server", "asyncio", "mode")

_logger = logging.getLogger(LOGGER_NAME)
_observers: "list[Observer]" = []


@dataclasses.dataclass(frozen=True)
class Event:
    """A kind of log line.

    :param number: unique; the thousands tell the part of the program.
    :param text: what happened, as a person reads it.
    """

    number: int
    name: str
    level: int
    text: str

    def log(self, **fields: t.Any) -> None:
        """Write a line with this event's number and name and some fields."""
        for observer in _observers:
            observer(self, fields)
        if _logger.isEnabledFor(self.level):
            extra = {"event": self.number, "event_name": self.name, **fields}
            _logger.log(self.level, self.text, extra=extra)


Observer = t.Callable[[Event, t.Mapping[str, t.Any]], None]


def add_observer(observer: Observer) -> None:
    """Call a function with each event and its fields, whether its line is written or not."""
    _observers.append(observer)


class Catalogue(dict[int, Event]):
    """The events of a program by their number."""

    def add(self, number: int, name: str, level: int, text: str) -> Event:
        """Return a new event.

        :raises ValueError: if the number is taken.
        """
        if number in self:
            raise ValueError(f"event {number!r} is there already")
        event = self[number] = Event(number, name, level, text)
        return event


def json_formatter(time_field: str, daemon: str) -> JsonFormatter:
    """Return a formatter that writes a JSON object a line.

    :param time_field: the ``logging`` format of the time, as ``%(created)f``.
    :param daemon: this daemon's id, put into each line.
    """
    name = time_field.partition("(")[2].partition(")")[0]
    return JsonFormatter(
        f"{time_field} %(levelname)s %(message)s",
        rename_fields={name: "time", "levelname": "level", "event_name": "name"},
        static_fields={"daemon": daemon},
    )


def install_handler(handler: logging.Handler, level: str) -> None:
    """Send all logging to one handler.

    :param level: the lowest level of the program's own events that is written.
    """
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    _logger.setLevel(level.upper())
    for noisy in NOISY_LOGGERS:
        logging.getLogger(noisy).setLevel(logging.CRITICAL)
