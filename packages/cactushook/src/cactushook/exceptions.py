"""The closed list of error kinds, the response to each, and the exceptions."""

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether a request that was answered with an error may have run."""

    NO = "no"
    MAYBE = "maybe"


class Retry(enum.Enum):
    """Where a request that was answered with an error may be sent again."""

    NEVER = "never"
    ELSEWHERE = "elsewhere"
    IDEMPOTENT_ONLY = "idempotent_only"


class ErrorKind(enum.Enum):
    """Every kind of error that the system reports; the value is its code."""

    # Configuration files and published versions.
    FILE_UNREADABLE = "file_unreadable"
    FILE_UNWRITABLE = "file_unwritable"
    CONFIG_SYNTAX = "config_syntax"
    CONFIG_FIELD = "config_field"
    LIMIT_OUT_OF_RANGE = "limit_out_of_range"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_DOMAIN = "unknown_domain"
    DUPLICATE_SERVICE = "duplicate_service"
    DUPLICATE_DOMAIN = "duplicate_domain"
    DUPLICATE_ROUTE = "duplicate_route"
    LAST_DOMAIN_OUT = "last_domain_out"
    VALUE_TOO_LARGE = "value_too_large"
    DIGEST_MISMATCH = "digest_mismatch"
    SNAPSHOT_INCOMPLETE = "snapshot_incomplete"
    VERSION_REPLAYED = "version_replayed"
    VERSION_CONFLICT = "version_conflict"
    # Requests.
    NO_ROUTE = "no_route"
    INTERNAL_ONLY = "internal_only"
    UNAUTHENTICATED = "unauthenticated"
    CONFIG_UNCONFIRMED = "config_unconfirmed"
    REQUEST_INVALID = "request_invalid"
    HEADER_TOO_LARGE = "header_too_large"
    TARGET_TOO_LONG = "target_too_long"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    INTERNAL_ERROR = "internal_error"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_TOO_SLOW = "caller_too_slow"
    HOP_LIMIT = "hop_limit"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    NOT_READY = "not_ready"
    NO_WORKER = "no_worker"
    OVER_QUOTA = "over_quota"
    OVERLOADED = "overloaded"
    COLD_START = "cold_start"
    QUEUE_TIMEOUT = "queue_timeout"
    DRAINING = "draining"
    DOMAIN_OUT = "domain_out"
    VERSION_BEHIND = "version_behind"
    CRASH_SUSPECT = "crash_suspect"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    HOME_UNREACHABLE = "home_unreachable"
    KEY_FENCED = "key_fenced"
    NOT_HOME = "not_home"
    OUTCOME_UNKNOWN = "outcome_unknown"
    WORKER_UNREACHABLE = "worker_unreachable"
    WORKER_LOST = "worker_lost"
    WORKER_REJECTED = "worker_rejected"
    WORKER_REPLACED = "worker_replaced"
    WORKER_UNKNOWN = "worker_unknown"
    WORKER_FAILED = "worker_failed"
    WORKER_FAILING = "worker_failing"
    NESTED_UNAVAILABLE = "nested_unavailable"
    ANSWER_INVALID = "answer_invalid"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    DEADLINE_NOT_RUN = "deadline_not_run"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    # Between nodes and towards the platform.
    FRAME_INVALID = "frame_invalid"
    FRAME_TOO_LARGE = "frame_too_large"
    CREDIT_OVERRUN = "credit_overrun"
    SOURCE_UNREACHABLE = "source_unreachable"
    SOURCE_HISTORY_LOST = "source_history_lost"
    SOURCE_BUDGET_SPENT = "source_budget_spent"
    ADDRESS_IN_USE = "address_in_use"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """How an error kind is answered.

    Attributes:
        status: HTTP status returned to callers.
        ran: whether the request may have run.
        retry: where the request may be sent again.
    """

    status: int
    ran: Ran
    retry: Retry


_CONFIG = ErrorResponse(422, Ran.NO, Retry.NEVER)
_BAD_REQUEST = ErrorResponse(400, Ran.NO, Retry.NEVER)
_NOT_RUN = ErrorResponse(503, Ran.NO, Retry.ELSEWHERE)
_NOT_RUN_FINAL = ErrorResponse(503, Ran.NO, Retry.NEVER)
_MAYBE_RUN = ErrorResponse(502, Ran.MAYBE, Retry.IDEMPOTENT_ONLY)

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.FILE_UNREADABLE: _CONFIG,
    ErrorKind.FILE_UNWRITABLE: _CONFIG,
    ErrorKind.CONFIG_SYNTAX: _CONFIG,
    ErrorKind.CONFIG_FIELD: _CONFIG,
    ErrorKind.LIMIT_OUT_OF_RANGE: _CONFIG,
    ErrorKind.UNKNOWN_SERVICE: _CONFIG,
    ErrorKind.UNKNOWN_DOMAIN: _CONFIG,
    ErrorKind.DUPLICATE_SERVICE: _CONFIG,
    ErrorKind.DUPLICATE_DOMAIN: _CONFIG,
    ErrorKind.DUPLICATE_ROUTE: _CONFIG,
    ErrorKind.LAST_DOMAIN_OUT: _CONFIG,
    ErrorKind.VALUE_TOO_LARGE: _CONFIG,
    ErrorKind.DIGEST_MISMATCH: _CONFIG,
    ErrorKind.SNAPSHOT_INCOMPLETE: _CONFIG,
    ErrorKind.VERSION_REPLAYED: _CONFIG,
    ErrorKind.VERSION_CONFLICT: _CONFIG,
    ErrorKind.NO_ROUTE: ErrorResponse(404, Ran.NO, Retry.NEVER),
    ErrorKind.INTERNAL_ONLY: ErrorResponse(403, Ran.NO, Retry.NEVER),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, Ran.NO, Retry.NEVER),
    ErrorKind.CONFIG_UNCONFIRMED: _NOT_RUN,
    ErrorKind.REQUEST_INVALID: _BAD_REQUEST,
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, Ran.NO, Retry.NEVER),
    ErrorKind.TARGET_TOO_LONG: ErrorResponse(414, Ran.NO, Retry.NEVER),
    ErrorKind.TOO_MANY_CONNECTIONS: _NOT_RUN,
    ErrorKind.INTERNAL_ERROR: ErrorResponse(500, Ran.MAYBE, Retry.IDEMPOTENT_ONLY),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, Ran.NO, Retry.NEVER),
    ErrorKind.CALLER_TOO_SLOW: ErrorResponse(408, Ran.NO, Retry.NEVER),
    ErrorKind.HOP_LIMIT: ErrorResponse(508, Ran.NO, Retry.NEVER),
    ErrorKind.KEY_MISSING: _BAD_REQUEST,
    ErrorKind.KEY_REUSED: ErrorResponse(422, Ran.NO, Retry.NEVER),
    ErrorKind.NOT_READY: _NOT_RUN,
    ErrorKind.NO_WORKER: _NOT_RUN_FINAL,
    ErrorKind.OVER_QUOTA: ErrorResponse(429, Ran.NO, Retry.NEVER),
    ErrorKind.OVERLOADED: _NOT_RUN,
    ErrorKind.COLD_START: _NOT_RUN,
    ErrorKind.QUEUE_TIMEOUT: _NOT_RUN,
    ErrorKind.DRAINING: _NOT_RUN,
    ErrorKind.DOMAIN_OUT: _NOT_RUN,
    ErrorKind.VERSION_BEHIND: _NOT_RUN,
    ErrorKind.CRASH_SUSPECT: _NOT_RUN_FINAL,
    ErrorKind.RETRY_BUDGET_SPENT: _NOT_RUN_FINAL,
    # An earlier copy of the request may have run at the home.
    ErrorKind.HOME_UNREACHABLE: ErrorResponse(503, Ran.MAYBE, Retry.NEVER),
    ErrorKind.KEY_FENCED: _NOT_RUN,
    ErrorKind.NOT_HOME: _NOT_RUN,
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, Ran.MAYBE, Retry.NEVER),
    ErrorKind.WORKER_UNREACHABLE: _NOT_RUN,
    ErrorKind.WORKER_LOST: _MAYBE_RUN,
    ErrorKind.WORKER_REJECTED: _NOT_RUN,
    ErrorKind.WORKER_REPLACED: _NOT_RUN,
    ErrorKind.WORKER_UNKNOWN: _NOT_RUN,
    ErrorKind.WORKER_FAILED: _MAYBE_RUN,
    ErrorKind.WORKER_FAILING: _NOT_RUN,
    ErrorKind.NESTED_UNAVAILABLE: _NOT_RUN,
    ErrorKind.ANSWER_INVALID: _MAYBE_RUN,
    ErrorKind.PEER_UNREACHABLE: _NOT_RUN,
    ErrorKind.PEER_LOST: _MAYBE_RUN,
    ErrorKind.DEADLINE_NOT_RUN: ErrorResponse(504, Ran.NO, Retry.NEVER),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, Ran.MAYBE, Retry.NEVER),
    ErrorKind.CANCELLED: ErrorResponse(499, Ran.MAYBE, Retry.NEVER),
    ErrorKind.FRAME_INVALID: _MAYBE_RUN,
    ErrorKind.FRAME_TOO_LARGE: _MAYBE_RUN,
    ErrorKind.CREDIT_OVERRUN: _MAYBE_RUN,
    ErrorKind.SOURCE_UNREACHABLE: _NOT_RUN,
    ErrorKind.SOURCE_HISTORY_LOST: _NOT_RUN,
    ErrorKind.SOURCE_BUDGET_SPENT: _NOT_RUN,
    ErrorKind.ADDRESS_IN_USE: _NOT_RUN_FINAL,
}


class CactushookError(Exception):
    """Base of all errors that the project raises.

    Args:
        kind: the kind, whose value is the error's code.
        message: what happened, naming the thing concerned.
    """

    def __init__(self, kind: ErrorKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message

    @property
    def response(self) -> ErrorResponse:
        """HTTP status, outcome and retry advice for this error."""
        return ERROR_RESPONSES[self.kind]

    def __str__(self) -> str:
        return one_line(f"{self.kind.value}: {self.message}")


class ConfigError(CactushookError):
    """A configuration file or a published version is refused.

    Args:
        kind: the reason.
        message: what is wrong.
        file: path of the file, if one is known.
        line: line in the file, counted from 1, or 0.
        field: path of the field, such as ``routes[0].path``.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        file: str = "",
        line: int = 0,
        field: str = "",
    ) -> None:
        super().__init__(kind, message)
        self.file = file
        self.line = line
        self.field = field

    def __str__(self) -> str:
        place = ":".join(
            part for part in (self.file, str(self.line or ""), self.field) if part
        )
        prefix = f"{place}: " if place else ""
        return one_line(f"{prefix}{self.kind.value}: {self.message}")


class VersionError(CactushookError):
    """A version is not applied because it is older, conflicting or incomplete."""


class RequestError(CactushookError):
    """A request is answered with an error kind instead of the worker's answer."""


class WireError(CactushookError):
    """A frame or message from another node is invalid."""


class SourceError(CactushookError):
    """The platform's configuration service returned no usable answer."""


def one_line(text: str) -> str:
    """Escapes line breaks and control characters, for texts shown to people."""
    return "".join(map(_printable, text))


def _printable(character: str) -> str:
    if character.isprintable():
        return character
    return character.encode("unicode_escape", "surrogatepass").decode()
