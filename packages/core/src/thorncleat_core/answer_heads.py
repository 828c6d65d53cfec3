"""Decides whether the head of an HTTP answer is one in the protocol.

aiohttp reads answers leniently, and its parser in C takes other heads than its parser in Python.
What a process in trouble writes may then look like an answer whose status, length or own headers
mean nothing. Each reader of answers checks heads here before it believes or keeps anything of them.

Two oddities pass, since both parsers take them in one way and RFC 9112 allows it: lines that end
with LF alone (section 2.2), and a folded value, which arrives as one line (section 5.2).

Owns: nothing.
Relies on: aiohttp to split a head into its parts, and to refuse what it can't split.
"""

import re

import aiohttp
from aiohttp import HttpVersion10
from aiohttp import HttpVersion11
from aiohttp.http import HttpProcessingError
from aiohttp.http import RawResponseMessage

MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101  # HTTP status
VERSIONS = (HttpVersion10, HttpVersion11)
TRANSFER_ENCODING = b"transfer-encoding"
CONTENT_LENGTH = b"content-length"
# The only coding that a reader accepts without having offered another one.
CHUNKED = b"chunked"
# Longest part of what an endpoint sent in a reason.
MAX_SHOWN = 40

_NAME = re.compile(rb"[0-9A-Za-z!#$%&'*+.^_`|~-]+")
_LENGTH = re.compile(rb"[0-9]+")
# Control characters other than tab, which no value or reason phrase contains.
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTROL_CHARACTER = re.compile("[\x00-\x08\x0a-\x1f\x7f]")


class BrokenAnswerError(aiohttp.ClientPayloadError):
    """What was received is no answer in HTTP; nothing of it means anything.

    :param reason: what is wrong with it, for the log.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"no answer in HTTP: {reason}")
        self.reason = reason

    @classmethod
    def from_parser(cls, error: HttpProcessingError) -> "BrokenAnswerError":
        """Return the error for bytes that the library's parser refused."""
        first_line = error.message.partition("\n")[0].strip(": \r")
        return cls(first_line[:MAX_SHOWN] or "refused by the parser")


def check_head(message: RawResponseMessage) -> None:
    """Check that a head is one of an answer, or an interim one.

    :raises BrokenAnswerError: if it isn't.
    """
    _check_status_line(message)
    for name, value in message.raw_headers:
        if _NAME.fullmatch(name) is None:
            raise BrokenAnswerError(f"field name {_shown(name)}")
        if _CONTROL_BYTE.search(value) is not None:
            raise BrokenAnswerError(f"value {_shown(value)} of {_shown(name)}")
    _check_framing(message)


def _check_status_line(message: RawResponseMessage) -> None:
    if message.version not in VERSIONS:
        raise BrokenAnswerError(f"version {message.version.major}.{message.version.minor}")
    if not MIN_STATUS <= message.code <= MAX_STATUS:
        raise BrokenAnswerError(f"status {message.code:03}")
    if message.code == SWITCHING_PROTOCOLS:
        # No request asks for another protocol.
        raise BrokenAnswerError(f"status {message.code}")
    if _CONTROL_CHARACTER.search(message.reason) is not None:
        raise BrokenAnswerError(f"reason phrase {message.reason[:MAX_SHOWN]!r}")


def _check_framing(message: RawResponseMessage) -> None:
    """Check that a head states in one way where its body ends.

    The parser reads the body as the first statement that it understands says; another reader of the
    same bytes may find another body in them, or another answer.
    """
    codings = _values(message, TRANSFER_ENCODING)
    lengths = _values(message, CONTENT_LENGTH)
    if codings:
        is_read_in_chunks = [coding.lower() for coding in codings] == [CHUNKED] and message.chunked
        if lengths or message.version == HttpVersion10 or not is_read_in_chunks:
            raise BrokenAnswerError(f"transfer coding {_shown(b', '.join(codings))}")
    if len(lengths) > 1 or not all(_LENGTH.fullmatch(length) for length in lengths):
        raise BrokenAnswerError(f"length {_shown(b', '.join(lengths))}")


def _values(message: RawResponseMessage, name: bytes) -> list[bytes]:
    return [value for key, value in message.raw_headers if key.lower() == name]


def _shown(data: bytes) -> str:
    """Return the begin of some bytes as it is shown in a reason."""
    return repr(data[:MAX_SHOWN].decode("latin-1"))
