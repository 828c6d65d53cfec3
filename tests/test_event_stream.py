"""Splitting a stream into whole events, in order and without repeated ones."""

from hypothesis import given
from hypothesis import strategies as st

from thorncleat_gateway.requests.event_stream import EventSplitter


class TestEventSplitter:
    STREAM = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 9))

    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_events_do_not_depend_on_the_sizes_of_chunks(self, sizes):
        splitter, out, rest = EventSplitter(), b"", self.STREAM
        for size in [*sizes, len(self.STREAM)]:
            out += splitter.feed(rest[:size])
            rest = rest[size:]
        assert out == self.STREAM
        assert not splitter.is_mid_event

    def test_resumed_stream_repeats_no_event(self):
        splitter = EventSplitter()
        out = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        assert splitter.is_mid_event
        splitter.restart()
        out += splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        assert out == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        assert splitter.last_id == "2"

    def test_ids_rise_as_numbers(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 9\ndata: a\n\nid: 10\ndata: b\n\n").count(b"data") == 2


class TestIncompleteEvents:
    """Guards against an event that doesn't end, and against searching it again at each read."""

    def test_size_is_known(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: x\n\nid: 2") == b"id: 1\ndata: x\n\n"
        assert (splitter.incomplete_size, splitter.whole_count) == (5, 1)
        splitter.restart()
        assert (splitter.incomplete_size, splitter.is_mid_event) == (0, False)

    def test_repeated_events_are_whole_but_not_counted(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 2\ndata: x\n\n")
        assert splitter.feed(b"id: 1\ndata: x\n\n") == b""
        assert (splitter.whole_count, splitter.event_count) == (2, 1)

    def test_each_byte_is_searched_once(self):
        class Searched(bytearray):
            count = 0

            def rfind(self, wanted, start=0):
                Searched.count += len(self) - start
                return super().rfind(wanted, start)

        splitter = EventSplitter()
        splitter._incomplete = Searched()
        for _ in range(1000):
            splitter.feed(b"x" * 100)
        assert Searched.count <= 2 * splitter.incomplete_size
