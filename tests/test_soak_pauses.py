"""A short run of the soak with pauses of sound workers, and that soak's own checks."""

import json

import pytest
from bench.soaks import gateway_pauses
from bench.soaks import pausing_worker
from bench.soaks.gateway_checks import Exchange
from bench.soaks.gateway_checks import RequestKind
from bench.soaks.gateway_daemons import GRACE_PERIOD_SECONDS
from bench.soaks.gateway_pause_checks import Death
from bench.soaks.gateway_pause_checks import PauseChecks
from bench.soaks.worker_processes import Leave
from bench.soaks.worker_processes import RunStart

SOAK_MINUTES = 0.15
ROUTE_TIMEOUT_SECONDS = 10.0
SENT_AT = 100.0


async def test_pauses_of_sound_workers_cut_no_streams_and_end_no_groups(tmp_path):
    result = await gateway_pauses.run(tmp_path, 1, SOAK_MINUTES, 3)
    assert result.violations == []
    assert result.counts["pauses"] > 0
    assert result.counts["stream 200"] > 0
    assert all(not daemon.is_running for daemon in result.site.daemons)


def exchange(seconds=1.0, **fields):
    made = Exchange("r1", RequestKind.STREAM, SENT_AT, "key", b"body", 200, daemon="edge-1")
    made.ended_at = SENT_AT + seconds
    for name, value in fields.items():
        setattr(made, name, value)
    return made


class TestLost:
    """Guards against missed and false losses."""

    @staticmethod
    def _is_lost(cut, epochs=(7,), death=None, stop=None):
        """Return whether a cut is a loss.

        :param epochs: of the groups that ran the request.
        :param death: epoch of a dead worker, and how long after the request it died.
        :param stop: how long after the request its daemon was told to stop.
        """
        checks = PauseChecks(ROUTE_TIMEOUT_SECONDS)
        for epoch in epochs:
            checks.record_run(RunStart("w1", "r1", "/", epoch))
        if death is not None:
            checks.record_death(Death("w2", death[0], SENT_AT + death[1]))
        if stop is not None:
            checks.record_stop("edge-1", SENT_AT + stop)
        found = checks.find_lost([cut])
        assert bool(found) is checks.is_lost(cut)
        return bool(found)

    def test_whole_answer_is_not_lost(self):
        assert not self._is_lost(exchange(is_complete=True))

    def test_whole_refusal_is_not_lost(self):
        assert not self._is_lost(exchange(status=503, is_complete=True))

    @pytest.mark.parametrize("status", [0, 200])
    def test_answer_without_its_end_is_lost(self, status):
        assert self._is_lost(exchange(status=status))

    @pytest.mark.parametrize(("seconds", "is_lost"), [(6.9, True), (7.1, False)])
    def test_request_that_used_seven_tenths_of_its_time_is_not_counted(self, seconds, is_lost):
        assert self._is_lost(exchange(seconds)) is is_lost

    @pytest.mark.parametrize(
        ("seconds", "epochs", "is_lost"),
        [(0.1, (), False), (0.3, (), True), (0.1, (7,), True)],
    )
    def test_request_that_crossed_a_close_is_lost_only_if_it_ran(self, seconds, epochs, is_lost):
        assert self._is_lost(exchange(seconds, status=0), epochs) is is_lost

    @pytest.mark.parametrize(
        ("death", "is_lost"),
        [
            pytest.param((7, 0.5), False, id="in its group"),
            pytest.param((7, -2.9), False, id="in its group, shortly before"),
            pytest.param((7, -3.1), True, id="in its group, long before"),
            pytest.param((7, 1.1), True, id="in its group, afterwards"),
            pytest.param((8, 0.5), True, id="in another group"),
        ],
    )
    def test_only_a_death_in_its_group_excuses_a_cut(self, death, is_lost):
        assert self._is_lost(exchange(), death=death) is is_lost

    def test_death_in_the_group_that_a_stream_left_excuses_its_cut(self):
        assert not self._is_lost(exchange(), (7, 8), death=(7, 0.5))

    @pytest.mark.parametrize(
        ("stop", "is_lost"),
        [
            pytest.param(0.0, True, id="as it begins"),
            pytest.param(1.0 - GRACE_PERIOD_SECONDS * 4 / 6, True, id="sent in it, before its end"),
            pytest.param(1.0 - GRACE_PERIOD_SECONDS * 5.5 / 6, True, id="sent too late in it"),
        ],
    )
    def test_planned_stop_excuses_no_cut_before_the_end_of_its_grace_period(self, stop, is_lost):
        assert self._is_lost(exchange(), stop=stop) is is_lost

    def test_stream_that_outlasts_a_planned_stop_may_be_cut(self):
        assert not self._is_lost(exchange(5.5), stop=0.1)

    @pytest.mark.parametrize(
        ("seconds", "epochs", "excuse"),
        [
            (7.1, (7,), "out of time"),
            (0.1, (), "never taken"),
            (1.0, (8,), "death in its group"),
            (5.5, (7,), "end of a grace period"),
            (1.0, (7,), ""),
        ],
    )
    def test_excuse_is_named(self, seconds, epochs, excuse):
        checks = PauseChecks(ROUTE_TIMEOUT_SECONDS)
        for epoch in epochs:
            checks.record_run(RunStart("w1", "r1", "/", epoch))
        checks.record_death(Death("w2", 8, SENT_AT + 0.5))
        checks.record_stop("edge-1", SENT_AT + 0.1)
        assert checks.find_excuse(exchange(seconds)) == excuse

    def test_violation_names_the_order_that_broke_the_stream(self):
        checks = PauseChecks(ROUTE_TIMEOUT_SECONDS)
        checks.record_run(RunStart("w1", "r1", "/", 7))
        checks.record_leave(leave("w1", SENT_AT + 0.9))
        [text] = checks.find_lost([exchange(body=b"id: 1\ndata: r1 1\n\n")])
        assert "LOST r1 at edge-1" in text
        assert "after 1 events" in text
        assert "w1 left g7 at 100.900" in text


def leave(worker, at, epoch=7):
    return Leave(worker, f"g{epoch}", epoch, "open", ("w1", "w2"), 2, at)


class TestEndedGroups:
    """Guards against missed and false ends of sound groups."""

    @staticmethod
    def _find_ended(leaves, deaths=()):
        checks = PauseChecks(ROUTE_TIMEOUT_SECONDS)
        for item in leaves:
            checks.record_leave(item)
        for item in deaths:
            checks.record_death(item)
        return checks.find_ended()

    def test_group_counts_once(self):
        [text] = self._find_ended([leave("w1", 5.0), leave("w2", 5.1)])
        assert "ENDED group g7 of sound workers w1, w2 was told to leave at 5.000" in text
        assert "4 streams broken" in text

    def test_each_group_counts(self):
        assert len(self._find_ended([leave("w1", 5.0), leave("w1", 6.0, epoch=8)])) == 2

    @pytest.mark.parametrize(
        ("death", "count"),
        [
            pytest.param(Death("w2", 7, 4.0), 0, id="a member, before"),
            pytest.param(Death("w2", 8, 5.5), 1, id="a member, afterwards"),
            pytest.param(Death("w3", 9, 4.0), 1, id="another worker"),
        ],
    )
    def test_group_of_a_dead_member_may_end(self, death, count):
        assert len(self._find_ended([leave("w1", 5.0)], [death])) == count


class TestPausingWorker:
    """Guards against a worker of the soak that runs on without its group."""

    @staticmethod
    def _make_worker(monkeypatch):
        lines = []
        monkeypatch.setattr(
            pausing_worker,
            "print",
            lambda line, flush: lines.append(json.loads(line)),
            raising=False,
        )
        worker = pausing_worker.PausingWorker("w1", "narrator", "d0", "zone-a")
        worker._members, worker._epoch = ["w1", "w2"], 7
        worker._group = {"name": "g7", "epoch": 7, "rank": 0, "state": "open"}
        return worker, lines

    @pytest.mark.parametrize(
        ("paused", "departed", "is_complete"),
        [
            (set(), set(), True),
            ({"w2"}, set(), False),
            ({"w3"}, set(), True),
            (set(), {("w2", 7)}, False),
            (set(), {("w2", 6)}, True),
        ],
    )
    def test_leader_stalls_without_a_member(self, monkeypatch, paused, departed, is_complete):
        worker, _ = self._make_worker(monkeypatch)
        worker.paused, worker.departed = paused, departed
        assert worker.is_group_complete is is_complete

    @pytest.mark.parametrize("epoch", [6, 7])
    def test_only_an_order_to_its_group_breaks_streams(self, monkeypatch, epoch):
        worker, lines = self._make_worker(monkeypatch)
        aborted = []

        class Transport:
            def abort(self):
                aborted.append(self)

        worker._stream_transports.add(Transport())
        worker._execute_order({"op": "leave", "group": "g7", "epoch": epoch})
        assert len(aborted) == (epoch == 7)
        assert [line["kind"] for line in lines] == ["leave"] * (epoch == 7)
