"""Numbered log events of the gateway, listed in docs/LOGS-GATEWAY.md.

Numbers by topic: 70xx process, 71xx view of the store, 72xx group control, 73xx requests and
suspicions, 74xx datagrams.

Owns: the catalogue.
Relies on: :mod:`thorncleat_core.log_events`.
"""

import logging

from thorncleat_core.log_events import Catalogue

# Operators search for the numbers, names and fields of events, so these must not change.
catalogue = Catalogue()
_event = catalogue.add

INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

STARTED = _event(7001, "gateway_started", INFO, "the gateway accepts requests")
STOPPING = _event(7002, "gateway_stopping", INFO, "the gateway drains its running requests")
STOPPED = _event(7003, "gateway_stopped", INFO, "the gateway has stopped")
TASK_FAILED = _event(
    7004, "gateway_task_failed", ERROR, "a background task failed; the daemon continues"
)
RELOADED = _event(7005, "gateway_reloaded", INFO, "the settings file was checked again")
LINES_DROPPED = _event(7006, "lines_dropped", WARNING, "log lines were dropped")

STORE_LOST = _event(7101, "feed_lost", WARNING, "the store does not answer")
STORE_BACK = _event(7102, "feed_back", INFO, "the store answers again")
HISTORY_GONE = _event(
    7103, "history_gone", INFO, "the store's change history is incomplete; reading a snapshot"
)
CONFIG_IN_FORCE = _event(
    7104, "configuration_in_force", INFO, "a configuration took effect on this daemon"
)
SOURCE_CHANGED = _event(7106, "source_changed", INFO, "the source of store changes has changed")
BAD_DOCUMENT = _event(7105, "bad_document", WARNING, "a document in the store is invalid")
STARTED_AGAIN = _event(
    7107, "endpoint_started_again", INFO, "an endpoint has restarted under its id"
)
SAID_DRAINING = _event(
    7108, "endpoint_said_draining", INFO, "an endpoint reports that it is draining"
)
STORE_RESTORED = _event(7109, "store_restored", WARNING, "the store was restored from a copy")
EVACUATED = _event(
    7110, "failure_domain_evacuated", WARNING, "the endpoints of a failure domain get no requests"
)
EVACUATION_ENDED = _event(
    7111, "evacuation_ended", INFO, "the endpoints of a failure domain get requests again"
)

LEADING = _event(7201, "controller_elected", INFO, "this daemon became the controller")
NOT_LEADING = _event(7202, "controller_lost", WARNING, "this daemon is no longer the controller")
GROUP_FORMING = _event(7203, "group_forming", INFO, "members were ordered to join a new group")
GROUP_OPENED = _event(7204, "group_opened", INFO, "a group was opened")
GROUP_FAILED = _event(7205, "group_failed", WARNING, "a group could not be formed")
GROUP_ENDED = _event(7206, "group_ended", INFO, "a group is being ended")
GROUP_DETACHED = _event(7207, "group_detached", INFO, "a group no longer answers requests")
ENDPOINT_LOST = _event(7208, "endpoint_lost", WARNING, "an endpoint does not answer")
ENDPOINT_STAGED = _event(7209, "endpoint_staged", INFO, "a host was ordered to load a model")
ORDER_UNANSWERED = _event(7210, "order_unanswered", WARNING, "an order got no answer")
ORDER_GIVEN = _event(7211, "order_given", INFO, "an engine answered an order")
MEMBER_REUSED = _event(7212, "member_reused", INFO, "a member of an ended group was reused")
ENDPOINT_SLOW = _event(7213, "endpoint_slow", WARNING, "an endpoint reports that it is slow")
ENDPOINT_NORMAL = _event(7214, "endpoint_normal", INFO, "an endpoint is no longer slow")
SPARE_WARMED = _event(
    7215, "spare_warmed", INFO, "a spare was ordered to load its model from the host"
)
LOST_RECORDS = _event(
    7216, "lost_records_written", INFO, "group records missing from the store are rewritten"
)
DOMAIN_MOVE_BEGUN = _event(
    7217, "domain_move_begun", INFO, "a fabric domain begins to move to a model in need"
)
DOMAIN_MOVE_CLOSING = _event(
    7218, "domain_move_closing", INFO, "the groups of a moving domain are being ended"
)
DOMAIN_MOVE_FINISHED = _event(
    7219, "domain_move_finished", INFO, "a fabric domain has moved to another model"
)
DOMAIN_MOVE_ABANDONED = _event(
    7220, "domain_move_abandoned", WARNING, "a fabric domain keeps its model"
)
PLACEMENT_IGNORED = _event(
    7221, "placement_ignored", WARNING, "a placement record, or a part of it, is ignored"
)
PLACEMENT_REWRITTEN = _event(
    7222, "placement_rewritten", INFO, "a placement that the store had lost is written again"
)
GROUP_KEPT = _event(7224, "group_kept", INFO, "a group that was to be ended serves again")
ENDPOINT_REGAINED = _event(7223, "endpoint_regained", INFO, "a lost endpoint answers again")

GROUP_SUSPECTED = _event(7301, "group_suspected", WARNING, "a group is suspected to be down")
REQUEST_SENT = _event(7302, "request_sent", INFO, "a request was sent to an endpoint")
REQUEST_DONE = _event(7303, "request_done", INFO, "a request was answered")
REQUEST_MOVED = _event(7304, "attempt_failed", INFO, "an attempt at an endpoint failed")
REQUEST_REFUSED = _event(7305, "request_refused", WARNING, "a request was refused")
REQUEST_CUT = _event(7306, "request_cut", WARNING, "an answer was aborted before its end")
REQUEST_LEFT = _event(7307, "caller_left", INFO, "the caller disconnected")
CRASH_NOTED = _event(7308, "crash_noted", WARNING, "an endpoint crashed during requests")
QUARANTINED = _event(
    7309, "request_quarantined", ERROR, "a request that crashes endpoints was quarantined"
)
RELEASED = _event(7310, "request_released", INFO, "a request was released from quarantine")
CALLER_BOUNDED = _event(
    7326, "caller_bounded", WARNING, "callers were refused or closed, since they took too much"
)
BAD_HEADER = _event(7311, "bad_header", WARNING, "a header of an endpoint's answer is invalid")
ENDPOINT_PAUSED = _event(7312, "endpoint_paused", INFO, "an endpoint asked for a pause in requests")
ENDPOINT_LIMITED = _event(
    7313, "endpoint_limited", INFO, "an endpoint changed its limit on requests per second"
)
ENDPOINT_COLD = _event(
    7314, "endpoint_cold", INFO, "an endpoint is cold and gets few requests for a time"
)
REQUEST_SHED = _event(
    7315, "request_shed", INFO, "overload control refused a request before it was sent"
)
KEPT_CONNECTION_RESET = _event(
    7316, "kept_connection_reset", INFO, "an endpoint had closed an idle connection"
)
SURPLUS_BYTES = _event(
    7317, "surplus_bytes", WARNING, "an endpoint sent bytes on an idle connection; it was closed"
)
QUARANTINE_PROBED = _event(
    7323, "quarantine_probed", INFO, "a quarantined request is sent to learn whether it crashes"
)
RETRY_DENIED = _event(
    7324, "retry_denied", INFO, "the retry budget of this daemon allows no retry of a request"
)
RETRIES_INHERITED = _event(
    7325, "retries_inherited", INFO, "other daemons told what this one had used of its retry budget"
)
UNANSWERED_SETTLED = _event(
    7327, "unanswered_settled", INFO, "attempts that were given up can't arrive any more"
)
CUT_OFF = _event(
    7318, "endpoints_cut_off", WARNING, "no connection of this daemon to an endpoint comes up"
)
ENDPOINTS_REACHED = _event(
    7319, "endpoints_reached_again", INFO, "connections of this daemon to endpoints come up again"
)
ATTEMPT_TUNNELLED = _event(
    7320, "attempt_tunnelled", INFO, "an attempt reaches its endpoint by way of another daemon"
)
TUNNEL_FAILED = _event(
    7321, "tunnel_failed", INFO, "another daemon did not connect an attempt to its endpoint"
)
TUNNEL_REFUSED = _event(
    7322, "tunnel_refused", INFO, "this daemon did not connect another one to an endpoint"
)

PEER_REJECTED = _event(
    7401, "datagram_rejected", WARNING, "a datagram was invalid or from an unknown sender"
)
