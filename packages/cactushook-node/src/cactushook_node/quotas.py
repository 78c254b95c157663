"""A node's part in the quotas of workspaces: its entry's leases and its homes."""

import contextlib
import math
import typing as t

import trio
from cactushook import Call
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import HostState
from cactushook import Pause
from cactushook import Ran
from cactushook import Refusal
from cactushook import RequestError
from cactushook.exceptions import ERROR_RESPONSES
from cactushook.quota_balance import FallbackToken
from cactushook.quota_balance import LeasedToken
from cactushook.quota_bounds import fallback_share
from cactushook.quota_bounds import QuotaBounds
from cactushook.quota_home import HOLD_MS
from cactushook.quota_home import QuotaHome
from cactushook.quota_homes import HomeTable
from cactushook.quota_lease import Admitted
from cactushook.quota_lease import EntryQuotas
from cactushook.quota_lease import OverQuota
from cactushook.quota_lease import QuotaVerdict
from cactushook.quota_lease import Waiting
from cactushook.quota_messages import LeaseGrant
from cactushook.quota_messages import LeaseRequest
from cactushook.quota_reach import FleetReach
from cactushook.reports import QuotaStatus
from cactushook.timers import PAUSE_THRESHOLD_MS
from cactushook.workspaces import Workspace

from . import quota_wire
from . import wire
from .entry_request import RefusedError
from .environment import Environment
from .link_pool import LinkPool
from .links import Link
from .reach_probe import ReachProbe
from .supervision import TaskStarter
from .trace import Trace

TICK_MS = 50.0
PROBE_PERIOD_MS = 1_000.0
DROP_PERIOD_MS = 10_000.0
# Time for the host lists of two nodes that claim one home to become the same.
CLAIM_DELAY_MS = 1_000.0
MAX_SHOWN = 200

Token: t.TypeAlias = LeasedToken | FallbackToken


class Quotas:
    """Admits the entry's requests within quotas and grants tokens as a home.

    Args:
        environment: the node's central object.
        links: connections to other nodes.
        tasks: runs the tasks that send messages.
    """

    def __init__(
        self, environment: Environment, links: LinkPool, tasks: TaskStarter
    ) -> None:
        self._environment = environment
        self._links = links
        self._tasks = tasks
        settings = environment.settings
        self._own = settings.host
        quota = settings.quota
        self._bounds = QuotaBounds(quota.window_ms, quota.overage, quota.slack)
        incarnation = int(environment.started_epoch_ms)
        now_ms = environment.now_ms()
        self._entry = EntryQuotas(self._own, incarnation, self._bounds, now_ms)
        self._home = QuotaHome(self._bounds)
        self._table = HomeTable(self._own)
        self._reach = FleetReach()
        self._probe = ReachProbe(environment, links)
        self._reached = 1.0
        # When the host list was last known to be out of date.
        self._outdated_ms = -math.inf
        self._is_probing = False
        self._hosts: t.Collection[HostRecord] | None = None
        self._workspaces: t.Mapping[str, Workspace] | None = None
        self._live: dict[str, HostRecord] = {}
        # Addresses by host, those of the host list before included: an earlier home may
        # still run.
        self._addresses: dict[str, str] = {}
        self._fallback_shares: dict[str, int] = {}
        self._changed = trio.Event()
        self._unreachable: set[str] = set()
        # Workspaces whose home is claimed again after `CLAIM_DELAY_MS`.
        self._lost_homes: set[str] = set()
        environment.timers.on_pause(self._on_pause)
        environment.timers.every(TICK_MS, self._on_tick)
        environment.timers.every(PROBE_PERIOD_MS, self._measure_reach)
        environment.timers.every(DROP_PERIOD_MS, self._entry.drop_idle)

    @contextlib.asynccontextmanager
    async def admit(self, call: Call, trace: Trace) -> t.AsyncIterator[None]:
        """Takes a token for a request, and puts it back if the request did not run.

        Raises:
            RefusedError: the request exceeds its workspace's quota.
        """
        name = "" if call.nested else call.workspace
        token = await self.acquire(name, trace.request_id)
        try:
            yield
        except RequestError as error:
            has_not_run = ERROR_RESPONSES[error.kind].ran is Ran.NO
            if token is not None and has_not_run and not trace.may_have_run:
                self.release(name, token)
            raise

    async def acquire(self, name: str, request_id: str = "") -> Token | None:
        """Takes a token of a workspace; returns None if it has no quota.

        Raises:
            RefusedError: there is no token.
        """
        workspace = self._environment.store.snapshot.workspaces.get(name)
        if workspace is None or workspace.rate_per_s <= 0:
            return None
        self._refresh()
        verdict = await self._decide(workspace)
        metrics = self._environment.metrics
        match verdict:
            case Admitted(token):
                kind = "fallback" if isinstance(token, FallbackToken) else "admitted"
                metrics.quota_requests.labels(kind).inc()
                return token
            case OverQuota():
                metrics.quota_requests.labels("refused").inc()
                raise self._refused(workspace, verdict, request_id)
        raise AssertionError(f"{verdict} is not final")

    def release(self, name: str, token: Token) -> None:
        """Puts back the token of a request that was refused and did not run."""
        self._entry.release(name, token, self._environment.now_ms())

    async def on_message(self, link: Link, message: wire.Message) -> None:
        """Handles a message about quotas."""
        now_ms = self._environment.now_ms()
        sender = link.peer_hello.host.name if link.peer_hello is not None else ""
        match message:
            case wire.QuotaRequestMessage():
                request = quota_wire.request_from_message(message, sender)
                answer = self._answer(request)
                if answer is not None:
                    link.send_soon(quota_wire.grant_to_message(answer))
            case wire.QuotaGrantMessage():
                self._apply(sender, quota_wire.grant_from_message(message))
            case wire.QuotaHandoverMessage(answer=True):
                names = quota_wire.handover_names(message.workspaces)
                served = quota_wire.handover_names(message.served)
                self._home.confirm(sender, names, served, now_ms)
            case wire.QuotaHandoverMessage():
                names = quota_wire.handover_names(message.workspaces)
                served = self._home.yield_to_other(names, now_ms)
                answer = wire.QuotaHandoverMessage(list(names), list(served), True)
                link.send_soon(answer)
                self._claim_later(names)

    def status(self) -> tuple[QuotaStatus, ...]:
        """Returns the balances at this entry, for operators."""
        self._refresh()
        now_ms = self._environment.now_ms()
        workspaces = self._environment.store.snapshot.workspaces
        return tuple(
            QuotaStatus(
                workspace=name,
                rate_per_s=workspaces[name].rate_per_s,
                burst=workspaces[name].burst,
                home=balance.home,
                is_home_serving=self._entry.is_serving(name),
                tokens=balance.tokens,
                demand_per_s=round(balance.demand_per_s(now_ms), 2),
                granted_per_s=round(balance.granted_per_s(now_ms), 2),
                fallback_tokens=self._fallback_share(workspaces[name]),
            )
            for name, balance in sorted(self._entry.balances.items())[:MAX_SHOWN]
            if name in workspaces
        )

    async def _decide(self, workspace: Workspace) -> QuotaVerdict:
        environment = self._environment
        name = workspace.name

        def fallback() -> int:
            return self._fallback_share(workspace)

        home = self._table.home(name)
        verdict = self._entry.acquire(workspace, home, fallback, environment.now_ms())
        changed = self._changed
        self._send_request(home)
        while isinstance(verdict, Waiting):
            until_ms = verdict.until_ms
            left_ms = max(0.0, until_ms - environment.now_ms())
            try:
                with trio.move_on_after(left_ms / 1_000):
                    await changed.wait()
            except trio.Cancelled:
                self._entry.cancel_waiting(name)
                raise
            changed = self._changed
            now_ms = environment.now_ms()
            verdict = self._entry.acquire_waiting(name, fallback, until_ms, now_ms)
        return verdict

    def _refused(
        self, workspace: Workspace, verdict: OverQuota, request_id: str
    ) -> RefusedError:
        environment = self._environment
        now_ms = environment.now_ms()
        balance = self._entry.balances[workspace.name]
        retry_after_ms = max(1, round(verdict.retry_after_ms))
        environment.log.log_request(
            "quota_refused",
            False,
            request_id=request_id,
            workspace=workspace.name,
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
            home=balance.home,
            by_fallback=verdict.by_fallback,
            demand_per_s=round(balance.demand_per_s(now_ms), 2),
            granted_per_s=round(balance.granted_per_s(now_ms), 2),
            retry_after_ms=retry_after_ms,
        )
        detail = f"workspace {workspace.name!r} exceeds {workspace.rate_per_s:g}/s"
        refusal = Refusal(ErrorKind.OVER_QUOTA, detail, retry_after_ms=retry_after_ms)
        return RefusedError(refusal)

    def _on_tick(self, now_ms: float) -> None:
        self._refresh()
        for home in list(self._entry.homes):
            self._send_request(home)
        self._wake()
        self._log_unreachable()

    def _on_pause(self, pause: Pause) -> None:
        self._home.hold(self._environment.now_ms())
        self._claim_later(self._table.own_homes)

    def _wake(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _refresh(self) -> None:
        """Takes a changed host list or configuration into account."""
        environment = self._environment
        hosts = environment.membership.hosts
        workspaces = environment.store.snapshot.workspaces
        if hosts is self._hosts and workspaces is self._workspaces:
            return
        now_ms = environment.now_ms()
        if hosts is not self._hosts:
            earlier = {name: host.address for name, host in self._live.items()}
            self._addresses = earlier | {host.name: host.address for host in hosts}
            self._live = {h.name: h for h in hosts if h.state is HostState.LIVE}
            self._reach.update(hosts, now_ms)
        self._hosts, self._workspaces = hosts, workspaces
        self._fallback_shares = {}
        limited = [w.name for w in workspaces.values() if w.rate_per_s > 0]
        self._table.update(self._live, limited)
        gained = self._home.update(self._table.own_homes, now_ms)
        environment.metrics.quota_homes.set(len(self._table.own_homes))
        if gained:
            environment.log.info(
                "quota_homes_gained", count=len(gained), workspaces=gained[:20]
            )
            self._announce(gained)

    def _announce(self, gained: t.Sequence[str]) -> None:
        """Asks other hosts to stop, so that this one need not wait for an earlier home.

        Hosts that could be homes before the latest change of the list are asked too.
        One that vanished may run and not know of the change.
        """
        others = self._table.others | self._table.earlier_others
        self._home.await_others(gained, others)
        message = wire.QuotaHandoverMessage(list(gained), [], False)
        for host in others:
            self._tasks.start_soon(self._send, host, message)

    def _claim_later(self, names: t.Collection[str]) -> None:
        """Claims homes again that another host claimed by an earlier host list."""
        lost = {name for name in self._table.own_homes if name in names}
        if lost and not self._lost_homes:
            self._environment.timers.after(CLAIM_DELAY_MS, self._claim_lost)
        self._lost_homes |= lost

    def _claim_lost(self, now_ms: float) -> None:
        self._refresh()
        lost, self._lost_homes = self._lost_homes, set()
        claimed = [
            name
            for name in self._table.own_homes
            if name in lost and not self._home.is_serving(name, now_ms)
        ]
        if claimed:
            self._announce(claimed)

    def _send_request(self, home: str) -> None:
        request = self._entry.next_request(home, self._environment.now_ms())
        if request is None:
            return
        if home == self._own:
            answer = self._answer(request)
            if answer is not None:
                self._apply(self._own, answer)
            return
        message = quota_wire.request_to_message(request)
        link = self._links.find(self._addresses.get(home, ""))
        if link is not None and link.peer_hello is not None:
            link.send_soon(message)
        else:
            self._tasks.start_soon(self._send, home, message)

    async def _send(self, host_name: str, message: wire.Message) -> None:
        address = self._addresses.get(host_name)
        if address is None:
            return
        try:
            link = await self._links.get(address)
        except RequestError as error:
            self._environment.log.debug(
                "peer_unreachable", address=address, reason=error.message
            )
            return
        await link.send(message)

    def _answer(self, request: LeaseRequest) -> LeaseGrant | None:
        self._refresh()
        environment = self._environment
        now_ms = environment.now_ms()
        if now_ms - environment.timers.now_ms > PAUSE_THRESHOLD_MS:
            # The timers have yet to report a pause, after which homes may be others.
            return None
        share = self._reach.share(self._reached, now_ms)
        workspaces = environment.store.snapshot.workspaces
        answer = self._home.answer(request, workspaces, share, now_ms)
        if answer is not None:
            tokens = sum(grant.tokens for grant in answer.grants)
            environment.metrics.quota_tokens.inc(tokens)
        return answer

    def _apply(self, home: str, answer: LeaseGrant) -> None:
        if self._entry.apply(home, answer, self._environment.now_ms()):
            self._wake()
        else:
            self._environment.metrics.quota_answers_ignored.inc()

    def _fallback_share(self, workspace: Workspace) -> int:
        """Returns this entry's fallback tokens, without those of vanished hosts."""
        share = self._fallback_shares.get(workspace.name)
        if share is None:
            part = self._reach.listed_part(self._environment.now_ms())
            total = int(self._bounds.fallback_tokens(workspace) * part)
            share = fallback_share(total, workspace.name, self._own, self._live)
            self._fallback_shares[workspace.name] = share
        return share

    def _log_unreachable(self) -> None:
        homes = {h for h in self._entry.homes if not self._entry.is_reachable(h)}
        for home in homes - self._unreachable:
            self._environment.log.warning("quota_home_unreachable", home=home)
        self._unreachable = homes

    def _measure_reach(self, now_ms: float) -> None:
        """Measures the reach while the host list may be out of date.

        The last value stays for `HOLD_MS`, since a home on the other side of a
        partition may learn later that it has ended.
        """
        is_current = self._environment.board.source_reachable.value is not False
        if not is_current:
            self._outdated_ms = now_ms
        elif now_ms - self._outdated_ms >= HOLD_MS:
            self._reached = 1.0
        if not is_current and self._table.own_homes and not self._is_probing:
            self._is_probing = True
            self._tasks.start_soon(self._probe_reach)

    async def _probe_reach(self) -> None:
        try:
            others = [h for name, h in self._live.items() if name != self._own]
            self._reached = await self._probe.measure(others)
        finally:
            self._is_probing = False
