"""Numbered log events; a test compares them with ``docs/LOGS.md``.

Owns: the catalogue of this program's events.
Relies on: numbers that are never reused.
"""

import logging

from thorncleat_core.log_events import Catalogue

catalogue = Catalogue()
_event = catalogue.add

INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

DAEMON_STARTED = _event(1001, "daemon_started", INFO, "the daemon listens")
DAEMON_STOPPING = _event(1002, "daemon_stopping", INFO, "the daemon finishes its requests")
DAEMON_STOPPED = _event(1003, "daemon_stopped", INFO, "the daemon has stopped")
TASK_FAILED = _event(1004, "task_failed", ERROR, "a background task failed and goes on")
INVARIANT_BROKEN = _event(1005, "invariant_broken", ERROR, "something that must hold did not")

STORE_LOST = _event(2001, "store_lost", WARNING, "the store does not answer")
STORE_BACK = _event(2002, "store_back", INFO, "the store answers again")
STORE_READ_BACK = _event(2003, "store_read_back", INFO, "a write with a lost answer was resolved")
PLATFORM_LOST = _event(2004, "platform_lost", WARNING, "the list of instances can't be had")

CONFIG_IN_FORCE = _event(3001, "config_in_force", INFO, "a configuration is in force here")
PLAN_MADE = _event(3002, "plan_made", INFO, "an operator was shown a plan")
PLAN_CONFIRMED = _event(3003, "plan_confirmed", INFO, "an operator's plan was accepted")
PLAN_REFUSED = _event(3004, "plan_refused", WARNING, "an operator's plan was not accepted")
OPERATOR_DENIED = _event(3005, "operator_denied", WARNING, "an operator's key lacks the right")

SHARD_ACQUIRED = _event(4001, "shard_acquired", INFO, "this daemon holds a shard")
SHARD_LOST = _event(4002, "shard_lost", WARNING, "this daemon no longer holds a shard")
GROUP_CHANGED = _event(4003, "group_changed", INFO, "a group's assignment was written")
GROUP_OPENED = _event(4004, "group_opened", INFO, "a group may answer")
GROUP_CLOSED = _event(4005, "group_closed", WARNING, "a group may not answer")
ORDER_REFUSED = _event(4006, "order_refused", WARNING, "an endpoint did not follow an order")
INSTANCE_RELEASED = _event(4007, "instance_released", INFO, "instances are free again")

PEER_REJECTED = _event(5001, "peer_rejected", WARNING, "a frame from a peer was dropped")
MEMBER_SUSPECTED = _event(5002, "member_suspected", WARNING, "a daemon does not answer")
MEMBER_REFUTED = _event(5003, "member_refuted", INFO, "this daemon refuted a suspicion")

REQUEST_FAILED = _event(6001, "request_failed", WARNING, "a request got an error")
PIECE_DROPPED = _event(6002, "piece_dropped", WARNING, "a piece of an answer was not its own")
REQUEST_MOVED = _event(6003, "request_moved", INFO, "a request went on in another group")
CLAIMS_RESTORED = _event(6004, "claims_restored", INFO, "the claims of a shard were read")
