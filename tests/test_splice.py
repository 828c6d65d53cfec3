"""Guards against events forwarded after a permit or to a closed or slow caller."""

import asyncio
from types import SimpleNamespace

import pytest

from thorncleat_core import clock
from thorncleat_daemon.attempts import group_closed_error
from thorncleat_daemon.dispatch import Slot
from thorncleat_daemon.exceptions import RequestError
from thorncleat_daemon.invariants import Invariants
from thorncleat_daemon.pieces import MAX_EVENT_BYTES
from thorncleat_daemon.pieces import Pieces
from thorncleat_daemon.splice import HIGH_WATER_BYTES
from thorncleat_daemon.splice import Sink
from thorncleat_daemon.splice import Splice
from thorncleat_daemon.streams import Streams

ID = "abc"
EVENT = b'data: {"id":"chatcmpl-abc","choices":[{"finish_reason":null}]}\n\n'


class FakeTransport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.written = b""
        self.waiting = 0
        self.closing = False
        self.paused = False

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return self.waiting

    def is_closing(self):
        return self.closing

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def set_protocol(self, protocol):
        self.protocol = protocol

    def abort(self):
        self.closing = True


class SplicedPair:
    def __init__(self, until: float, renewed: float = 0.0):
        self.caller, self.engine = FakeTransport(), FakeTransport()
        self.pieces = Pieces(ID)
        self.splice = Splice(Sink(self.caller, chunked=True), self.pieces, until, lambda: renewed)
        self.splice.take_over(self.engine, b"")


class _ClosedGroup:
    def check_permit(self, slot):
        raise group_closed_error(slot)


class _Content:
    async def readany(self):
        return EVENT


class TestBeginning:
    async def test_event_received_when_the_group_closes_is_not_counted(self):
        caller_stream = SimpleNamespace(
            response=SimpleNamespace(prepared=False), pieces=Pieces(ID), write=None
        )
        slot = Slot("g-0", 1, "", "a", 1)
        streams = Streams(_ClosedGroup(), None, None, 1.0, Invariants())
        with pytest.raises(RequestError, match="lost a member"):
            await streams._copy_first_events(
                caller_stream, slot, SimpleNamespace(content=_Content())
            )
        assert caller_stream.pieces.events == 0


class TestSplice:
    async def test_events_are_forwarded_in_chunks(self):
        pair = SplicedPair(clock.now() + 60)
        pair.splice.data_received(EVENT)
        assert pair.caller.written == b"%x\r\n%b\r\n" % (len(EVENT), EVENT)

    async def test_nothing_is_forwarded_or_counted_after_the_permit(self):
        pair = SplicedPair(clock.now() - 1)
        pair.splice.data_received(EVENT)
        assert pair.splice.is_group_closed
        assert pair.splice.ended.done()
        assert pair.caller.written == b""
        # An event that was not forwarded must be requested again.
        assert pair.pieces.events == 0

    async def test_forwarding_continues_under_a_renewed_permit(self):
        pair = SplicedPair(clock.now() - 1, renewed=clock.now() + 60)
        pair.splice.data_received(EVENT)
        assert pair.caller.written
        assert pair.splice.last_write_at <= pair.splice.until

    async def test_slow_caller_pauses_the_engine(self):
        pair = SplicedPair(clock.now() + 60)
        pair.caller.waiting = HIGH_WATER_BYTES + 1
        pair.splice.data_received(EVENT)
        assert pair.engine.paused
        assert pair.splice.is_paused
        pair.caller.waiting = 0
        await asyncio.sleep(0.05)
        assert not pair.engine.paused

    async def test_bytes_that_are_no_event_are_no_sign_of_life(self):
        """An engine that sent them for as long as somebody read them wasn't left."""
        pair = SplicedPair(clock.now() + 1.0)
        pair.engine.protocol.data_received(b"x" * 100)
        assert pair.splice.last_event_at == 0.0
        pair.engine.protocol.data_received(b"\n\n" + EVENT)
        assert pair.splice.last_event_at > 0.0

    async def test_event_without_end_ends_the_answer(self):
        pair = SplicedPair(clock.now() + 1.0)
        pair.engine.protocol.data_received(b"x" * (MAX_EVENT_BYTES + 1))
        assert pair.splice.ended.done()
        assert pair.pieces.is_truncated

    @pytest.mark.parametrize("how", ["lost", "gone"])
    async def test_ends_when_a_side_ends(self, how):
        pair = SplicedPair(clock.now() + 60)
        if how == "lost":
            pair.splice.connection_lost(None)
        else:
            pair.caller.closing = True
            pair.splice.data_received(EVENT)
        assert pair.splice.ended.done()
        pair.splice.stop()
        assert pair.engine.closing
