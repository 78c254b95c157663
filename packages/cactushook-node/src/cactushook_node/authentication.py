"""Identifies the workspace of a caller by the key in its request."""

from cactushook import ErrorKind
from cactushook import Refusal
from cactushook import RequestError
from cactushook.workspaces import MAX_KEY_BYTES
from cactushook.workspaces import NO_WORKSPACE
from cactushook.workspaces import Workspace

from .entry_request import EntryRequest
from .entry_request import RefusedError
from .environment import Environment

AUTHORIZATION = b"authorization"
_SCHEME = b"bearer"
# Retry delay advised by a node that cannot tell whether its configuration is current.
UNCONFIRMED_RETRY_AFTER_MS = 1_000
NO_KEY = "the request has no key"
MALFORMED_KEY = "the request has no single bearer key of valid length"
UNKNOWN_KEY = "the key is not known"


def identify(request: EntryRequest, environment: Environment) -> Workspace:
    """Returns the workspace of a request's caller.

    It is `NO_WORKSPACE` if the configuration has no workspaces, if a running request
    made this one without a key, and on an open route without a valid key. A request is
    matched to a route only if its key is not accepted.

    Raises:
        RequestError: the request needs a key that is known, and has none.
        RefusedError: the node cannot tell whether its keys are current.
    """
    snapshot = environment.store.snapshot
    if not snapshot.workspaces:
        return NO_WORKSPACE
    values = [value for name, value in request.headers if name == AUTHORIZATION]
    if request.nested and not values:
        return NO_WORKSPACE
    key = _parse_key(values)
    confirmation, now_ms = environment.confirmation, environment.now_ms()
    name = snapshot.credentials.find(key)
    if name and confirmation.allows_keys(now_ms):
        return snapshot.workspaces[name]
    if snapshot.is_open(request.method, request.path, request.host):
        return NO_WORKSPACE
    # An older configuration may lack a new key, so even an unknown one is not final.
    if key and not confirmation.knows_all_keys(now_ms):
        raise RefusedError(
            Refusal(
                ErrorKind.CONFIG_UNCONFIRMED,
                "the node does not know whether its keys are current",
                retry_after_ms=UNCONFIRMED_RETRY_AFTER_MS,
            )
        )
    raise RequestError(ErrorKind.UNAUTHENTICATED, _reason(values, key))


def _parse_key(values: list[bytes]) -> bytes:
    """Returns the key of the only ``Authorization`` header; empty if it is malformed.

    The key is only looked up, so its characters need no check.
    """
    if len(values) != 1:
        return b""
    scheme, _, key = values[0].partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != _SCHEME or len(key) > MAX_KEY_BYTES:
        return b""
    return key


def _reason(values: list[bytes], key: bytes) -> str:
    if not values:
        return NO_KEY
    return UNKNOWN_KEY if key else MALFORMED_KEY
