"""Builds the request that is forwarded to a worker from a caller's request."""

from cactushook import Call

from .authentication import AUTHORIZATION
from .entry_request import EntryRequest
from .environment import Environment
from .http_messages import remove_hop_by_hop
from .http_messages import WorkerRequest


def build_worker_request(
    request: EntryRequest, call: Call, environment: Environment
) -> WorkerRequest:
    """Removes what callers must not set, and keys, and adds the entry's headers.

    A name with ``_`` in place of ``-`` is treated as the workspace's header too, since
    some HTTP servers do not tell the two apart.
    """
    names = environment.headers
    removed = names.overridden
    if environment.store.snapshot.workspaces:
        removed |= {AUTHORIZATION}
    headers = tuple(
        (name, value)
        for name, value in remove_hop_by_hop(request.headers)
        if name not in removed and name.replace(b"_", b"-") != names.workspace
    )
    forwarded = WorkerRequest(request.method, request.target, headers, request.body)
    workspace = ()
    if call.workspace:
        workspace = ((names.workspace, call.workspace.encode()),)
    return forwarded.with_headers(
        (
            (names.hops, str(call.hops).encode()),
            (names.attempts, str(call.attempts_left).encode()),
            (names.caller_service, environment.settings.service.encode()),
            *workspace,
        )
    )
