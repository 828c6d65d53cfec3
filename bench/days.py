"""Writes days of our own for the users' bench.

- ``bin/days write SITE DIRECTORY``: for one site. Each day carries a few kinds of trouble in one of
  their variants, early, in the middle and late, so that all together play every kind that may
  come. The traffic is the site's own. The bench's ``hunt`` mixes the kinds that a site's file
  lists; these days play the others too.
- ``bin/days write_for_all DIRECTORY``: for all sites, which ``hunt`` plays from ``deploy/days``.

Owns: the kinds and their variants, and the days on which a rule was broken once.
Relies on: the form of a site's file, of which it takes the quiet day as text.
"""

import pathlib
import random
import re
import typing as t

import fire

DAY = "[[day]]"
TROUBLES_A_DAY = 3
# of a day's traffic, within which troubles begin
FIRST_SECOND, LAST_SECOND = 2.0, 24.0
# between the last moment a trouble may begin and the next one's first
APART_SECONDS = 2.0
# kind, and what else its entry says, as the bench's page on kinds lists them
TROUBLES = (
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
# days on which a rule was broken, with what broke it
REGRESSIONS = {
    # LOST 13 on Lima: a daemon took requests until its grace was over
    "planned-stops": (
        'at = 6.43, kind = "srv_cut", share = 0.3, for_s = 6.0, how = "some", x = 0.5',
        'at = 12.91, kind = "after_ack_kill", how = "timed"',
        'at = 18.28, kind = "roll_term", share = 1.0, x = 2.0, gap_s = 1.0',
    ),
    # on Riga all groups were formed anew when the store was back
    "entries-lapse": ('at = 9.0, kind = "platform_down", for_s = 6.0, how = "busy lapse"',),
    # TWO on Lima: groups that were neither listed nor heard came back, and their members were used
    "cut-and-back": (
        'at = 4.0, kind = "srv_cut", share = 0.3, for_s = 9.0, how = ""',
        'at = 4.5, kind = "node_cut", share = 0.3, for_s = 8.0, how = "servers"',
        'at = 16.0, kind = "srv_cut", share = 0.3, for_s = 8.0, how = "fronts"',
        'at = 16.5, kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0, how = "leader"',
    ),
}
# days for all sites; names of a site's own things stand as the bench's placeholders
FOR_ALL = {
    # endpoints that start again under their id, behind a cut that hides it from the store or from
    # the daemons; groups with such a member must not count as whole
    "restarts-behind-cuts": (
        'at = 4.0, kind = "srv_cut", service = "@s0", share = 0.2, for_s = 5.0, how = "reborn"',
        'at = 9.0, kind = "node_cut", share = 0.2, for_s = 5.0, how = "servers reborn"',
        'at = 14.0, kind = "applied_late", x = 0.5, for_s = 5.0, how = "orders"',
        'at = 14.5, kind = "srv_cut", service = "@s0", share = 0.3, for_s = 4.0, how = "reborn"',
        'at = 16.0, kind = "node_kill", on = "core", count = 1, how = "leader"',
        'at = 21.0, kind = "srv_cut", service = "@s0", share = 0.2, for_s = 4.0, how = "reborn"',
        'at = 21.0, kind = "platform_down", for_s = 3.0, how = "busy lapse"',
    ),
    # connections that are open and say nothing any more, to all that a daemon speaks to
    "silent-connections": (
        'at = 3.0, kind = "reset_conns", share = 0.6, x = 0.8, for_s = 3.0',
        'at = 8.0, kind = "srv_grey", service = "@s0", x = 0.4, for_s = 4.0, how = "mute"',
        'at = 13.0, kind = "platform_down", for_s = 4.0, how = "silent"',
        'at = 18.0, kind = "srv_grey", service = "@s0", x = 0.4, for_s = 4.0, how = "hang"',
        'at = 23.0, kind = "lossy", zone = "@z0", x = 0.05, for_s = 4.0',
    ),
    # all daemons return at once, with callers who come back sooner and more often than told
    "all-return": (
        'at = 4.0, kind = "herd_kill", on = "core", how = "off", for_s = 0.5',
        'at = 12.0, kind = "retry_abuse", share = 0.3, x = 3.0, for_s = 8.0',
        'at = 13.0, kind = "herd_kill", on = "core", how = "off", for_s = 1.0',
        'at = 22.0, kind = "burst", class = "@c0", x = 1.6, for_s = 6.0',
        'at = 24.0, kind = "herd_kill", share = 0.6',
    ),
    # members of groups turn slow: a few, and two in five of all
    "slow-members": (
        'at = 4.0, kind = "srv_slow", service = "@s0", share = 0.15, x = 12.0, for_s = 7.0',
        'at = 13.0, kind = "srv_slow", service = "@s0", count = 2, how = "joined", x = 4.0',
        'at = 21.0, kind = "srv_slow", service = "@s0", share = 0.4, x = 12.0, for_s = 8.0',
    ),
    # endpoints decline all, at first and with a burst, and leave while the store is away
    "endpoints-turn-away": (
        'at = 4.0, kind = "srv_grey", service = "@s0", share = 0.2, x = 1.0, for_s = 6.0, '
        'how = "shed"',
        'at = 6.0, kind = "burst", class = "@c0", x = 1.6, for_s = 5.0',
        'at = 13.0, kind = "scale_in", share = 0.2',
        'at = 15.0, kind = "platform_down", for_s = 5.0, how = "busy"',
        'at = 16.0, kind = "release", service = "@s0", share = 0.3, x = 4.0, gap_s = 0.5',
        'at = 25.0, kind = "srv_grey", share = 0.3, x = 1.0, for_s = 5.0, how = "busy"',
    ),
    # requests that end their endpoints: few, many, and while daemons are killed or cut off
    "deadly-requests": (
        'at = 3.0, kind = "poison", how = "deadly", class = "@c0", share = 0.01, for_s = 6.0',
        'at = 11.0, kind = "poison", how = "deadly", class = "@c0", share = 0.06, for_s = 5.0',
        'at = 13.0, kind = "node_kill", on = "core", count = 2, how = "leader", for_s = 3.0',
        'at = 20.0, kind = "poison", how = "deadly", class = "@c0", share = 0.02, for_s = 8.0',
        'at = 22.0, kind = "node_cut", share = 0.3, for_s = 4.0, how = "all"',
    ),
    # callers move and leave, while a daemon that has just acknowledged loses power
    "callers-move-and-leave": (
        'at = 3.0, kind = "shift", share = 0.5, for_s = 5.0',
        'at = 6.0, kind = "give_up", share = 0.3, for_s = 4.0',
        'at = 11.0, kind = "after_ack_kill", how = "timed"',
        'at = 14.0, kind = "give_up", share = 0.3, x = 1500.0, for_s = 5.0',
        'at = 15.0, kind = "srv_slow", service = "@s0", share = 0.3, x = 8.0, for_s = 6.0',
        'at = 23.0, kind = "shift", share = 0.5, for_s = 5.0',
    ),
}
# seed of the days for all sites; the bench varies it
FOR_ALL_SEED = 1
# contracts without which the bench refuses a kind
NEEDED = {"srv_lying_health": "health", "srv_flap": "health", "idle_race": "pool"}
PLANNED = ("release", "roll_term", "scale_in", "config_storm", "revoke", "hup")


def _quiet(site: pathlib.Path) -> str:
    days = site.read_text(encoding="utf-8").split(DAY)[1:]
    return next(day for day in days if 'slot = "quiet"' in day)


def _entries(troubles: t.Iterable[str], *, planned: bool) -> str:
    """Return the entries of a day, planned work or the rest, as its file holds them."""
    chosen = [entry for entry in troubles if (_kind(entry) in PLANNED) == planned]
    if not chosen:
        return "[]"
    return "[\n" + "".join(f"  {{ {entry} }},\n" for entry in chosen) + "]"


def _with(day: str, name: str, troubles: list[str]) -> str:
    plan, faults = (_entries(troubles, planned=planned) for planned in (True, False))
    day = re.sub(r"plan = \[.*?\n\]", lambda _: f"plan = {plan}", day, flags=re.DOTALL)
    day = re.sub(r"faults = \[.*?\n\]", lambda _: f"faults = {faults}", day, flags=re.DOTALL)
    day = re.sub(r'name = "[^"]*"', f'name = "{name}"', day, count=1)
    return DAY + day.replace('slot = "quiet"', 'slot = "trouble"')


def _kind(entry: str) -> str:
    return entry.partition('"')[2].partition('"')[0]


def write(site: str, directory: str, seed: int = 1) -> None:
    """Write the days for a site.

    :param seed: of the order and the moments.
    """
    draw = random.Random(seed)
    contracts = pathlib.Path(site).read_text(encoding="utf-8").partition("contracts = ")[2]
    listed = contracts.partition("]")[0]
    known = [entry for entry in TROUBLES if f'"{NEEDED.get(_kind(entry), "base")}"' in listed]
    order = draw.sample(known, len(known))
    target = pathlib.Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    quiet = _quiet(pathlib.Path(site))
    for name, troubles in REGRESSIONS.items():
        (target / f"{name}.toml").write_text(_with(quiet, name, list(troubles)), encoding="utf-8")
    span = (LAST_SECOND - FIRST_SECOND) / TROUBLES_A_DAY
    for number, begin in enumerate(range(0, len(order), TROUBLES_A_DAY)):
        chosen = []
        for place, entry in enumerate(order[begin : begin + TROUBLES_A_DAY]):
            at = FIRST_SECOND + place * span + draw.uniform(0, span - APART_SECONDS)
            chosen.append(f"at = {at:.2f}, {entry}")
        name = f"own-{seed}-{number:02}"
        (target / f"{name}.toml").write_text(_with(quiet, name, chosen), encoding="utf-8")


def write_for_all(directory: str) -> None:
    """Write the days for all sites; the bench leaves out what doesn't fit one."""
    target = pathlib.Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    for name, troubles in FOR_ALL.items():
        text = (
            f'{DAY}\nname = "{name}"\nslot = "trouble"\nseed = {FOR_ALL_SEED}\n'
            f"plan = {_entries(troubles, planned=True)}\n"
            f"faults = {_entries(troubles, planned=False)}\n"
        )
        (target / f"{name}.toml").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    fire.Fire({"write": write, "write_for_all": write_for_all})
