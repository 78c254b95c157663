"""The admin address: metrics, health, status, explanations and configuration."""

import typing as t
import urllib.parse

import msgspec
import prometheus_client as prom
import trio
from cactushook import HostState
from cactushook import Router
from cactushook import Snapshot
from cactushook.reports import DomainStatus
from cactushook.reports import ReasonCount
from cactushook.reports import Status

from .configuration_page import show_configuration
from .environment import Environment
from .environment import Readiness
from .explain import explain
from .pages import Page
from .pages import PageServer
from .quotas import Quotas

MAX_LEAVING_SHOWN = 100
JSON_TYPE = b"application/json"


class Admin:
    """Serves the admin pages to operators.

    Args:
        environment: the node's central object.
        router: the entry's router, which explanations query.
        quotas: this node's part in the quotas of workspaces.
    """

    def __init__(
        self, environment: Environment, router: Router, quotas: Quotas
    ) -> None:
        self._environment = environment
        self._quotas = quotas
        self._router = router
        self._applied_ms = environment.now_ms()
        environment.board.snapshot.watch(self._on_snapshot)
        environment.board.source_reachable.watch(self._on_source_reachable)

    async def serve(self, task_status: trio.TaskStatus[t.Any]) -> None:
        """Listens until cancelled."""
        settings = self._environment.settings
        addresses = [settings.admin_listen]
        if settings.metrics_listen is not None:
            addresses.append(settings.metrics_listen)
        await PageServer(self._environment, self._answer).serve(addresses, task_status)

    def status(self) -> Status:
        """Returns the node's state for operators."""
        environment = self._environment
        snapshot = environment.store.snapshot
        readiness = self._readiness()
        domains = snapshot.domains.values()
        return Status(
            host=environment.settings.host,
            domain=environment.settings.domain,
            service=environment.settings.service,
            version=snapshot.head.version,
            digest=snapshot.head.root,
            age_ms=int(environment.now_ms() - self._applied_ms),
            ready=readiness.ready,
            reason=readiness.reason,
            role=self._role(),
            source_reachable=environment.board.source_reachable.value,
            hosts=len(environment.membership.hosts),
            leaving_hosts=self._leaving_hosts(),
            domains=tuple(DomainStatus(d.name, d.state.value) for d in domains),
            refusals=_count_by_kind(environment.metrics.refusals),
            retries=_count_by_kind(environment.metrics.retries),
            quotas=self._quotas.status(),
        )

    def _answer(self, method: str, target: bytes) -> Page:
        if method != "GET":
            return Page(405, b"only GET\n")
        path, _, query = target.partition(b"?")
        return self._get_page(path.decode("latin-1"), query)

    def _get_page(self, path: str, query: bytes) -> Page:
        match path:
            case "/metrics":
                return Page(200, self._environment.metrics.expose())
            case "/healthz":
                return Page(200, b"ok\n")
            case "/readyz" | self._environment.settings.ready_path:
                readiness = self._readiness()
                status = 200 if readiness.ready else 503
                return Page(status, readiness.reason.encode() + b"\n")
            case "/status":
                return Page(200, msgspec.json.encode(self.status()), JSON_TYPE)
            case "/explain":
                return self._explain(query)
            case "/configuration":
                return show_configuration(self._environment.store.snapshot, query)
        return Page(404, b"not found\n")

    def _explain(self, query: bytes) -> Page:
        fields = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
        method, path = fields.get("method", ""), fields.get("path", "")
        if not method or not path.startswith("/"):
            return Page(400, b"method and path are needed\n")
        path = path.split("?", 1)[0]
        host = fields.get("host", "").lower()
        explanation = explain(self._environment, self._router, method, path, host)
        return Page(200, msgspec.json.encode(explanation), JSON_TYPE)

    def _readiness(self) -> Readiness:
        """Returns the board's readiness.

        The reason names the platform if the node has no configuration yet because the
        platform is unreachable.
        """
        environment = self._environment
        readiness = environment.board.readiness.value
        has_no_version = environment.store.head.version == 0
        if readiness.ready or not has_no_version:
            return readiness
        if environment.board.source_reachable.value is False:
            return Readiness(False, "no configuration yet, the platform is unreachable")
        return readiness

    def _role(self) -> str:
        membership = self._environment.membership
        elected = membership.view(membership.own.domain).readers
        return "reader" if membership.own.name in elected else "relay"

    def _leaving_hosts(self) -> tuple[str, ...]:
        hosts = self._environment.membership.hosts
        leaving = sorted(h.name for h in hosts if h.state is HostState.LEAVING)
        return tuple(leaving[:MAX_LEAVING_SHOWN])

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self._applied_ms = self._environment.now_ms()

    def _on_source_reachable(self, reachable: bool | None) -> None:
        log = self._environment.log
        address = self._environment.settings.platform.address
        if reachable:
            log.info("source_reachable", address=address)
        else:
            log.warning("source_unreachable", address=address)


def _count_by_kind(counter: prom.Counter) -> tuple[ReasonCount, ...]:
    totals: dict[str, int] = {}
    for metric in counter.collect():
        for sample in metric.samples:
            if sample.name.endswith("_total"):
                kind = sample.labels["kind"]
                totals[kind] = totals.get(kind, 0) + int(sample.value)
    return tuple(ReasonCount(kind, totals[kind]) for kind in sorted(totals))
