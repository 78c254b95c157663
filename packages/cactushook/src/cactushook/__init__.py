"""Coordination logic of a configuration distribution system for a service mesh.

The modules make decisions. Apart from reading files in `jsonc`, they perform no I/O;
callers pass in the time and the source of randomness.
"""

from .admission import Admission
from .admission import Admitted
from .admission import Queued
from .admission import Refused
from .board import Slot
from .calls import Call
from .calls import Load
from .calls import Refusal
from .crashes import CrashReport
from .crashes import CrashTable
from .distributor import Distributor
from .exceptions import CactushookError
from .exceptions import ConfigError
from .exceptions import ERROR_RESPONSES
from .exceptions import ErrorKind
from .exceptions import ErrorResponse
from .exceptions import Ran
from .exceptions import RequestError
from .exceptions import Retry
from .exceptions import SourceError
from .exceptions import VersionError
from .exceptions import WireError
from .key_table import KeyTable
from .membership import Membership
from .nodes import DomainState
from .nodes import HostRecord
from .nodes import HostState
from .nodes import Limits
from .nodes import OperatorsFile
from .nodes import Route
from .nodes import RouteClass
from .nodes import TeamFile
from .nodes import Visibility
from .publication import Head
from .publication import Publication
from .publication import publish
from .ramp import Ramp
from .retries import RetryBudget
from .routing import Router
from .snapshot import assemble
from .snapshot import EMPTY_SNAPSHOT
from .snapshot import Snapshot
from .timers import Pause
from .timers import TimerService
from .tokens import TokenBucket
from .versions import VersionStore

__version__ = "0.1.0"

__all__ = [
    "Admission",
    "Admitted",
    "CactushookError",
    "Call",
    "ConfigError",
    "CrashReport",
    "CrashTable",
    "Distributor",
    "DomainState",
    "EMPTY_SNAPSHOT",
    "ERROR_RESPONSES",
    "ErrorKind",
    "ErrorResponse",
    "Head",
    "HostRecord",
    "HostState",
    "KeyTable",
    "Limits",
    "Load",
    "Membership",
    "OperatorsFile",
    "Pause",
    "Publication",
    "Queued",
    "Ramp",
    "Ran",
    "Refusal",
    "Refused",
    "RequestError",
    "Retry",
    "RetryBudget",
    "Route",
    "RouteClass",
    "Router",
    "Slot",
    "Snapshot",
    "SourceError",
    "TeamFile",
    "TimerService",
    "TokenBucket",
    "VersionError",
    "VersionStore",
    "Visibility",
    "WireError",
    "assemble",
    "publish",
]
