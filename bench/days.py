"""Writes additional days, with faults of every kind, for the users' bench.

Run as ``bin/days write SITE DIRECTORY`` or ``bin/days write_for_all DIRECTORY``.

Owns: the faults and their variants, and the regression days.
Relies on: the form of a site's file, whose quiet day is the template.
"""

import pathlib
import random
import re
import typing as t

import fire

DAY_HEADER = "[[day]]"
FAULTS_PER_DAY = 3
# Seconds of a day between which faults begin.
FIRST_FAULT_SECOND, LAST_FAULT_SECOND = 2.0, 24.0
# Time between the ranges in which two successive faults may begin.
MIN_GAP_SECONDS = 2.0
# Entries of faults without their time, in the form of the bench's day files.
FAULTS = (
    'kind = "after_ack_kill", how = "kill"',
    'kind = "after_ack_kill", how = "timed"',
    'kind = "after_ack_kill", how = "taken", for_s = 3.0',
    'kind = "answer_lost", how = "reset", share = 0.5, x = 0.1, for_s = 5.0',
    'kind = "applied_late", x = 0.5, for_s = 6.0, how = "orders"',
    'kind = "applied_late", x = 0.5, for_s = 6.0, how = "all"',
    'kind = "burst", x = 2.5, for_s = 4.0',
    'kind = "clock_step", share = 0.5, x = 5000.0, for_s = 6.0, how = "back"',
    'kind = "config_storm", for_s = 4.0, gap_s = 0.2',
    'kind = "core_cut", count = 2, for_s = 6.0, how = "leader one_way"',
    'kind = "core_cut", count = 2, for_s = 6.0, how = "leader reset"',
    'kind = "core_cut", count = 3, for_s = 6.0, how = "split"',
    'kind = "core_cut", count = 1, for_s = 5.0, how = "leader all meet"',
    'kind = "garble", how = "extra", share = 0.5, x = 0.1, for_s = 5.0',
    'kind = "garble", how = "unframed", share = 0.5, x = 0.1, for_s = 5.0',
    'kind = "garble", how = "early", share = 0.5, x = 0.1, for_s = 5.0',
    'kind = "herd_kill", share = 1.0, for_s = 2.0, how = "power"',
    'kind = "herd_kill", on = "core", how = "taken"',
    'kind = "hup", share = 1.0, gap_s = 0.3',
    'kind = "idle_race", share = 0.5, x = 300.0, for_s = 5.0',
    'kind = "lossy", x = 0.08, for_s = 5.0',
    'kind = "node_cut", share = 0.3, for_s = 5.0, how = "all"',
    'kind = "node_cut", share = 0.5, for_s = 5.0, how = "servers"',
    'kind = "node_freeze", share = 0.3, for_s = 4.0',
    'kind = "node_freeze", on = "core", count = 1, for_s = 5.0, how = "leader"',
    'kind = "node_slow", share = 0.3, x = 6.0, for_s = 5.0',
    'kind = "node_kill", on = "core", count = 2, how = "leader hard", for_s = 4.0',
    'kind = "platform_compact", x = 6.0, for_s = 10.0, how = "drain"',
    'kind = "platform_down", for_s = 6.0, how = "busy lapse"',
    'kind = "platform_down", for_s = 6.0, how = "reset"',
    'kind = "platform_down", how = "nodes busy leader", share = 0.5, for_s = 6.0',
    'kind = "platform_down", how = "nodes reset revoke", share = 0.5, for_s = 6.0',
    'kind = "platform_down", how = "nodes many", share = 0.9, for_s = 6.0',
    'kind = "platform_lost", x = 0.6, for_s = 6.0, how = "late"',
    'kind = "platform_slow", x = 200.0, for_s = 5.0',
    'kind = "release", share = 1.0, x = 4.0, gap_s = 1.0',
    'kind = "replace_core", x = 1.0, how = "leader planned"',
    'kind = "replace_with_reuse", share = 0.15, how = "drain"',
    'kind = "replace_with_reuse", share = 0.15, how = "dark"',
    'kind = "reset_conns", share = 0.5, x = 0.8, for_s = 3.0',
    'kind = "revoke", count = 2, gap_s = 1.0, how = "last"',
    'kind = "roll_term", share = 1.0, x = 2.0, gap_s = 1.0',
    'kind = "scale_in", share = 0.2, how = "spot", x = 2.0',
    'kind = "srv_crash", share = 0.15, how = "rack", for_s = 6.0',
    'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "one_way"',
    'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "some", x = 0.5',
    'kind = "srv_flap", share = 0.15, gap_s = 1.2, for_s = 8.0',
    'kind = "srv_grey", share = 0.2, x = 0.5, how = "hang", for_s = 6.0',
    'kind = "srv_grey", share = 0.2, x = 0.5, how = "mute", for_s = 6.0',
    'kind = "srv_grey", share = 0.2, x = 0.5, how = "shed", for_s = 6.0',
    'kind = "srv_lying_health", share = 0.2, how = "hang", for_s = 6.0',
    'kind = "srv_slow", share = 0.3, x = 8.0, for_s = 6.0',
)
# Days that guard against regressions.
REGRESSION_DAYS = {
    # A stopping daemon must not take requests until its grace period is over.
    "planned-stops": (
        'at = 6.43, kind = "srv_cut", share = 0.3, for_s = 6.0, how = "some", x = 0.5',
        'at = 12.91, kind = "after_ack_kill", how = "timed"',
        'at = 18.28, kind = "roll_term", share = 1.0, x = 2.0, gap_s = 1.0',
    ),
    # Groups must survive an outage of the store.
    "entries-lapse": ('at = 9.0, kind = "platform_down", for_s = 6.0, how = "busy lapse"',),
    # Members of a group that is unlisted and unreachable may still serve, and must not be reused.
    "cut-and-back": (
        'at = 4.0, kind = "srv_cut", share = 0.3, for_s = 9.0, how = ""',
        'at = 4.5, kind = "node_cut", share = 0.3, for_s = 8.0, how = "servers"',
        'at = 16.0, kind = "srv_cut", share = 0.3, for_s = 8.0, how = "fronts"',
        'at = 16.5, kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0, how = "leader"',
    ),
}
# Days for all sites; placeholders of the bench, such as ``@s0``, stand for a site's own names.
COMMON_DAYS = {
    # Endpoints restart under the same id while cut off from the store or the daemons; groups with
    # such a member must not count as complete.
    "restarts-behind-cuts": (
        'at = 4.0, kind = "srv_cut", service = "@s0", share = 0.2, for_s = 5.0, how = "reborn"',
        'at = 9.0, kind = "node_cut", share = 0.2, for_s = 5.0, how = "servers reborn"',
        'at = 14.0, kind = "applied_late", x = 0.5, for_s = 5.0, how = "orders"',
        'at = 14.5, kind = "srv_cut", service = "@s0", share = 0.3, for_s = 4.0, how = "reborn"',
        'at = 16.0, kind = "node_kill", on = "core", count = 1, how = "leader"',
        'at = 21.0, kind = "srv_cut", service = "@s0", share = 0.2, for_s = 4.0, how = "reborn"',
        'at = 21.0, kind = "platform_down", for_s = 3.0, how = "busy lapse"',
    ),
    # Connections to endpoints, daemons and the store stay open without data.
    "silent-connections": (
        'at = 3.0, kind = "reset_conns", share = 0.6, x = 0.8, for_s = 3.0',
        'at = 8.0, kind = "srv_grey", service = "@s0", x = 0.4, for_s = 4.0, how = "mute"',
        'at = 13.0, kind = "platform_down", for_s = 4.0, how = "silent"',
        'at = 18.0, kind = "srv_grey", service = "@s0", x = 0.4, for_s = 4.0, how = "hang"',
        'at = 23.0, kind = "lossy", zone = "@z0", x = 0.05, for_s = 4.0',
    ),
    # All daemons restart at once, with callers that retry sooner and more often than allowed.
    "all-return": (
        'at = 4.0, kind = "herd_kill", on = "core", how = "off", for_s = 0.5',
        'at = 12.0, kind = "retry_abuse", share = 0.3, x = 3.0, for_s = 8.0',
        'at = 13.0, kind = "herd_kill", on = "core", how = "off", for_s = 1.0',
        'at = 22.0, kind = "burst", class = "@c0", x = 1.6, for_s = 6.0',
        'at = 24.0, kind = "herd_kill", share = 0.6',
    ),
    # Members of groups become slow.
    "slow-members": (
        'at = 4.0, kind = "srv_slow", service = "@s0", share = 0.15, x = 12.0, for_s = 7.0',
        'at = 13.0, kind = "srv_slow", service = "@s0", count = 2, how = "joined", x = 4.0',
        'at = 21.0, kind = "srv_slow", service = "@s0", share = 0.4, x = 12.0, for_s = 8.0',
    ),
    # Endpoints reject all requests, also during a burst, and leave while the store is unavailable.
    "endpoints-turn-away": (
        'at = 4.0, kind = "srv_grey", service = "@s0", share = 0.2, x = 1.0, for_s = 6.0, '
        'how = "shed"',
        'at = 6.0, kind = "burst", class = "@c0", x = 1.6, for_s = 5.0',
        'at = 13.0, kind = "scale_in", share = 0.2',
        'at = 15.0, kind = "platform_down", for_s = 5.0, how = "busy"',
        'at = 16.0, kind = "release", service = "@s0", share = 0.3, x = 4.0, gap_s = 0.5',
        'at = 25.0, kind = "srv_grey", share = 0.3, x = 1.0, for_s = 5.0, how = "busy"',
    ),
    # Requests crash their endpoints, also while daemons are killed or cut off.
    "deadly-requests": (
        'at = 3.0, kind = "poison", how = "deadly", class = "@c0", share = 0.01, for_s = 6.0',
        'at = 11.0, kind = "poison", how = "deadly", class = "@c0", share = 0.06, for_s = 5.0',
        'at = 13.0, kind = "node_kill", on = "core", count = 2, how = "leader", for_s = 3.0',
        'at = 20.0, kind = "poison", how = "deadly", class = "@c0", share = 0.02, for_s = 8.0',
        'at = 22.0, kind = "node_cut", share = 0.3, for_s = 4.0, how = "all"',
    ),
    # Callers move and disconnect, and a daemon fails right after an acknowledgement.
    "callers-move-and-leave": (
        'at = 3.0, kind = "shift", share = 0.5, for_s = 5.0',
        'at = 6.0, kind = "give_up", share = 0.3, for_s = 4.0',
        'at = 11.0, kind = "after_ack_kill", how = "timed"',
        'at = 14.0, kind = "give_up", share = 0.3, x = 1500.0, for_s = 5.0',
        'at = 15.0, kind = "srv_slow", service = "@s0", share = 0.3, x = 8.0, for_s = 6.0',
        'at = 23.0, kind = "shift", share = 0.5, for_s = 5.0',
    ),
}
# The bench varies this seed.
COMMON_DAYS_SEED = 1
# Contract that a site must have for a kind of fault; the others need the base contract only.
REQUIRED_CONTRACTS = {"srv_lying_health": "health", "srv_flap": "health", "idle_race": "pool"}
PLANNED_KINDS = ("release", "roll_term", "scale_in", "config_storm", "revoke", "hup")


def _quiet_day(site: pathlib.Path) -> str:
    days = site.read_text(encoding="utf-8").split(DAY_HEADER)[1:]
    return next(day for day in days if 'slot = "quiet"' in day)


def _format_entries(entries: t.Iterable[str], *, is_planned: bool) -> str:
    """Return the planned work or the faults among entries, in the form of a day file."""
    chosen = [entry for entry in entries if (_kind(entry) in PLANNED_KINDS) == is_planned]
    if not chosen:
        return "[]"
    return "[\n" + "".join(f"  {{ {entry} }},\n" for entry in chosen) + "]"


def _make_day(day: str, name: str, entries: list[str]) -> str:
    """Return a copy of a day's text with another name and with the given entries."""
    planned_work, faults = (
        _format_entries(entries, is_planned=is_planned) for is_planned in (True, False)
    )
    day = re.sub(r"plan = \[.*?\n\]", lambda _: f"plan = {planned_work}", day, flags=re.DOTALL)
    day = re.sub(r"faults = \[.*?\n\]", lambda _: f"faults = {faults}", day, flags=re.DOTALL)
    day = re.sub(r'name = "[^"]*"', f'name = "{name}"', day, count=1)
    return DAY_HEADER + day.replace('slot = "quiet"', 'slot = "trouble"')


def _kind(entry: str) -> str:
    return entry.partition('"')[2].partition('"')[0]


def write(site: str, directory: str, seed: int = 1) -> None:
    """Write the days for a site.

    :param site: path of the site's file.
    :param directory: where the days are written.
    :param seed: seed of the order and the times of faults.
    """
    generator = random.Random(seed)
    contracts = pathlib.Path(site).read_text(encoding="utf-8").partition("contracts = ")[2]
    contract_list = contracts.partition("]")[0]
    playable = [
        entry
        for entry in FAULTS
        if f'"{REQUIRED_CONTRACTS.get(_kind(entry), "base")}"' in contract_list
    ]
    order = generator.sample(playable, len(playable))
    target = pathlib.Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    quiet = _quiet_day(pathlib.Path(site))
    for name, entries in REGRESSION_DAYS.items():
        (target / f"{name}.toml").write_text(
            _make_day(quiet, name, list(entries)), encoding="utf-8"
        )
    slot_seconds = (LAST_FAULT_SECOND - FIRST_FAULT_SECOND) / FAULTS_PER_DAY
    for number, begin in enumerate(range(0, len(order), FAULTS_PER_DAY)):
        chosen = []
        for position, entry in enumerate(order[begin : begin + FAULTS_PER_DAY]):
            at = (
                FIRST_FAULT_SECOND
                + position * slot_seconds
                + generator.uniform(0, slot_seconds - MIN_GAP_SECONDS)
            )
            chosen.append(f"at = {at:.2f}, {entry}")
        name = f"own-{seed}-{number:02}"
        (target / f"{name}.toml").write_text(_make_day(quiet, name, chosen), encoding="utf-8")


def write_for_all(directory: str) -> None:
    """Write the days for all sites; the bench skips entries that a site doesn't support.

    :param directory: where the days are written.
    """
    target = pathlib.Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    for name, entries in COMMON_DAYS.items():
        text = (
            f'{DAY_HEADER}\nname = "{name}"\nslot = "trouble"\nseed = {COMMON_DAYS_SEED}\n'
            f"plan = {_format_entries(entries, is_planned=True)}\n"
            f"faults = {_format_entries(entries, is_planned=False)}\n"
        )
        (target / f"{name}.toml").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    fire.Fire({"write": write, "write_for_all": write_for_all})
