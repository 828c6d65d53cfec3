"""The ports: interfaces to the platform that adapters and stand-ins implement.

Owns: nothing.
Relies on: the gateway's data classes only, so that adapters need nothing else of the gateway.
"""

from .engines import Close as Close
from .engines import EngineReport as EngineReport
from .engines import Engines as Engines
from .engines import Join as Join
from .engines import Leave as Leave
from .engines import Load as Load
from .engines import Open as Open
from .engines import Order as Order
from .engines import Outcome as Outcome
from .headers import AnswerMeta as AnswerMeta
from .headers import ForwardMeta as ForwardMeta
from .headers import HeaderCodec as HeaderCodec
from .headers import Headers as Headers
from .headers import RequestMeta as RequestMeta
from .store_changes import MIN_WAITED_FRACTION as MIN_WAITED_FRACTION
from .store_changes import Change as Change
from .store_changes import ChangeFeed as ChangeFeed
from .store_changes import Changes as Changes
from .store_changes import ConfigurationChanged as ConfigurationChanged
from .store_changes import EndpointListed as EndpointListed
from .store_changes import EndpointRemoved as EndpointRemoved
from .store_changes import RecordChanged as RecordChanged
from .store_changes import RecordStore as RecordStore
from .store_changes import SettlingTimes as SettlingTimes
from .store_changes import proven_wait_seconds as proven_wait_seconds
from .store_position import Lease as Lease
from .store_position import Position as Position
