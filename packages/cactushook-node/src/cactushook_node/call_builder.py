"""Builds the call between nodes from a caller's request and its route."""

from cactushook import Call
from cactushook import ErrorKind
from cactushook import RequestError
from cactushook import RouteClass
from cactushook.answer_sizes import AnswerSizes
from cactushook.digests import digest
from cactushook.snapshot import BoundRoute
from cactushook.splits import Splits
from cactushook.workspaces import Workspace

from .entry_request import EntryRequest
from .environment import Environment
from .headers import parse_issued_ms


class CallBuilder:
    """Builds calls.

    Args:
        environment: the node's central object.
        answer_sizes: expected lengths of answers by route.
    """

    def __init__(self, environment: Environment, answer_sizes: AnswerSizes) -> None:
        self._environment = environment
        self._splits = Splits(environment.rng)
        self._answer_sizes = answer_sizes

    def build(
        self,
        request: EntryRequest,
        bound: BoundRoute,
        request_id: str,
        workspace: Workspace,
    ) -> Call:
        """Returns the call of a request.

        Args:
            request: the request.
            bound: its route.
            request_id: its id.
            workspace: the caller's workspace.

        Raises:
            RequestError: a header of the request is not valid, or it has passed
                through too many services.
        """
        route = bound.route
        environment = self._environment
        # The request may have waited to be read since the loop's last turn.
        arrived_ms = environment.now_ms() - environment.lag.last_ms
        timeout_ms = request.parse_number(
            environment.headers.timeout_ms, route.timeout_ms
        )
        hops = self._count_hops(request)
        key, issued_ms = _read_key(request, bound)
        return Call(
            request_id=request_id,
            service=self._splits.choose_service(bound),
            route_class=route.route_class,
            deadline_ms=arrived_ms + min(timeout_ms, route.timeout_ms),
            version=environment.store.head.version,
            attempts_left=self._count_attempts(request, bound),
            hops=hops,
            key=key,
            key_issued_ms=issued_ms,
            resend_window_ms=route.resend_window_ms,
            fingerprint=_fingerprint(request),
            variant=self._variant(request, workspace),
            objective_ms=arrived_ms + (route.objective_ms or route.timeout_ms),
            priority=workspace.priority_on(route.priority),
            workspace=workspace.name,
            nested=request.nested,
            answer_bytes=self._answer_sizes.expected_bytes(route.path),
            route=route.path,
        )

    def _count_hops(self, request: EntryRequest) -> int:
        environment = self._environment
        hops = request.parse_number(environment.headers.hops, 0) + 1
        if hops > environment.settings.limits.hops:
            raise RequestError(ErrorKind.HOP_LIMIT, f"hop {hops} exceeds the hop limit")
        return hops

    def _count_attempts(self, request: EntryRequest, bound: BoundRoute) -> int:
        most = bound.route.attempts
        name = self._environment.headers.attempts
        return max(1, min(request.parse_number(name, most), most))

    def _variant(self, request: EntryRequest, workspace: Workspace) -> str:
        service = self._environment.settings.service
        return digest("\n".join((service, workspace.name, request.host)).encode())


def _fingerprint(request: EntryRequest) -> str:
    line = request.method.encode() + b" " + request.target
    return digest(line + b"\n" + request.body)


def _read_key(request: EntryRequest, bound: BoundRoute) -> tuple[str, float]:
    """Returns the key of an at-most-once request, and when it was issued."""
    route = bound.route
    if route.route_class is not RouteClass.AT_MOST_ONCE:
        return "", 0.0
    key = request.header(route.key_header.lower().encode()).decode("latin-1")
    return key, parse_issued_ms(key, route.key_header)


__all__ = ["CallBuilder"]
