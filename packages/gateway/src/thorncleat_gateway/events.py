"""Numbered log events of the gateway, listed in docs/LOGS-GATEWAY.md.

The thousands and hundreds tell the part: 70 the process, 71 the store's view, 72 the control of
groups, 73 requests and suspicions, 74 datagrams. Numbers, names and fields stay as they are:
whoever is on call searches for them.

Owns: the catalogue.
Relies on: :mod:`thorncleat_core.log_events`.
"""

import logging

from thorncleat_core.log_events import Catalogue

catalogue = Catalogue()
_event = catalogue.add

INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

STARTED = _event(7001, "gateway_started", INFO, "the gateway listens")
STOPPING = _event(7002, "gateway_stopping", INFO, "the gateway finishes its requests")
STOPPED = _event(7003, "gateway_stopped", INFO, "the gateway has stopped")
TASK_FAILED = _event(7004, "gateway_task_failed", ERROR, "a background task failed and goes on")
RELOADED = _event(7005, "gateway_reloaded", INFO, "the settings were read again")
LINES_DROPPED = _event(7006, "lines_dropped", WARNING, "log lines were left out")

STORE_LOST = _event(7101, "feed_lost", WARNING, "the store does not answer")
STORE_BACK = _event(7102, "feed_back", INFO, "the store answers again")
HISTORY_GONE = _event(7103, "history_gone", INFO, "the store's history is gone; all is read again")
CONFIG_IN_FORCE = _event(7104, "configuration_in_force", INFO, "a configuration is in force here")
SOURCE_CHANGED = _event(7106, "source_changed", INFO, "changes are learnt from elsewhere")
BAD_DOCUMENT = _event(7105, "bad_document", WARNING, "a document of the store can't be read")
STARTED_AGAIN = _event(7107, "endpoint_started_again", INFO, "an endpoint runs anew under its id")
SAID_DRAINING = _event(7108, "endpoint_said_draining", INFO, "an endpoint's answer says it drains")
STORE_RESTORED = _event(7109, "store_restored", WARNING, "the store came back from a copy")

LEADING = _event(7201, "controller_elected", INFO, "this daemon controls the groups")
NOT_LEADING = _event(7202, "controller_lost", WARNING, "this daemon no longer controls the groups")
GROUP_FORMING = _event(7203, "group_forming", INFO, "members are ordered to join a group")
GROUP_OPENED = _event(7204, "group_opened", INFO, "a group was opened")
GROUP_FAILED = _event(7205, "group_failed", WARNING, "a group could not be formed")
GROUP_ENDED = _event(7206, "group_ended", INFO, "a group is taken apart")
GROUP_DETACHED = _event(7207, "group_detached", INFO, "a group surely answers no more")
ENDPOINT_LOST = _event(7208, "endpoint_lost", WARNING, "an endpoint does not answer")
ENDPOINT_STAGED = _event(7209, "endpoint_staged", INFO, "a host was ordered to load a model")
ORDER_UNANSWERED = _event(7210, "order_unanswered", WARNING, "an order got no answer")
ORDER_GIVEN = _event(7211, "order_given", INFO, "an engine answered an order")
MEMBER_REUSED = _event(7212, "member_reused", INFO, "a member of an ended group is used again")
ENDPOINT_SLOW = _event(7213, "endpoint_slow", WARNING, "an endpoint says that it is slow")
ENDPOINT_NORMAL = _event(7214, "endpoint_normal", INFO, "an endpoint no longer counts as slow")
SPARE_WARMED = _event(7215, "spare_warmed", INFO, "a spare loads its model from the host")
LOST_RECORDS = _event(7216, "lost_records_written", INFO, "records that the store lost are written")

GROUP_SUSPECTED = _event(7301, "group_suspected", WARNING, "a group is silent")
REQUEST_SENT = _event(7302, "request_sent", INFO, "a request was sent to an endpoint")
REQUEST_DONE = _event(7303, "request_done", INFO, "a request was answered")
REQUEST_MOVED = _event(7304, "attempt_failed", INFO, "an attempt at an endpoint failed")
REQUEST_REFUSED = _event(7305, "request_refused", WARNING, "a request was refused")
REQUEST_CUT = _event(7306, "request_cut", WARNING, "an answer was cut off")
REQUEST_LEFT = _event(7307, "caller_left", INFO, "the caller has gone")
CRASH_NOTED = _event(7308, "crash_noted", WARNING, "an endpoint broke its requests and is gone")
QUARANTINED = _event(
    7309, "request_quarantined", ERROR, "a request ends its endpoints and is held back"
)
RELEASED = _event(7310, "request_released", INFO, "a request is no longer held back")
BAD_HEADER = _event(7311, "bad_header", WARNING, "a header of an endpoint's answer can't be read")
ENDPOINT_PAUSED = _event(7312, "endpoint_paused", INFO, "an endpoint wants no requests for a time")
ENDPOINT_LIMITED = _event(
    7313, "endpoint_limited", INFO, "an endpoint names how many requests a second it takes"
)

PEER_REJECTED = _event(7401, "datagram_rejected", WARNING, "a datagram could not be read")
