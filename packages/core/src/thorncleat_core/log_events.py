"""Numbered log events, written as JSON lines.

Each program defines its events in a module of its own. The numbers are unique across programs.

Owns: the observers of events.
Relies on: python-json-logger for the format, each program's handler for the output.
"""

import dataclasses
import logging
import typing as t

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "thorncleat"
# Loggers of libraries that report ordinary disconnects as errors.
NOISY_LOGGERS = ("aiohttp.server", "asyncio", "mode")

_logger = logging.getLogger(LOGGER_NAME)
_observers: "list[Observer]" = []


@dataclasses.dataclass(frozen=True)
class Event:
    """A kind of log event.

    :param number: unique number, whose thousands identify the component.
    :param name: identifier in snake case.
    :param level: level of the :mod:`logging` module.
    :param text: description for people.
    """

    number: int
    name: str
    level: int
    text: str

    def log(self, **fields: t.Any) -> None:
        """Notify the observers and write a log line with this event and its fields."""
        for observer in _observers:
            observer(self, fields)
        if _logger.isEnabledFor(self.level):
            extra = {"event": self.number, "event_name": self.name, **fields}
            _logger.log(self.level, self.text, extra=extra)


Observer = t.Callable[[Event, t.Mapping[str, t.Any]], None]


def add_observer(observer: Observer) -> None:
    """Register a function that is called with each event, even if its level is not logged."""
    _observers.append(observer)


class Catalogue(dict[int, Event]):
    """The events of a program by number."""

    def add(self, number: int, name: str, level: int, text: str) -> Event:
        """Return a new event, added to the catalogue.

        :raises ValueError: if the number is already in use.
        """
        if number in self:
            raise ValueError(f"event number {number!r} is already in use")
        event = self[number] = Event(number, name, level, text)
        return event


def json_formatter(time_field: str, daemon: str) -> JsonFormatter:
    """Return a formatter that writes one JSON object per line.

    :param time_field: format of the time for :mod:`logging`, such as ``%(created)f``.
    :param daemon: id of this daemon, added to each line.
    """
    name = time_field.partition("(")[2].partition(")")[0]
    return JsonFormatter(
        f"{time_field} %(levelname)s %(message)s",
        rename_fields={name: "time", "levelname": "level", "event_name": "name"},
        static_fields={"daemon": daemon},
    )


def install_handler(handler: logging.Handler, level: str) -> None:
    """Make a handler the only one of the root logger and set the log levels.

    :param level: lowest level at which the program's own events are written.
    """
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    _logger.setLevel(level.upper())
    for name in NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.CRITICAL)
