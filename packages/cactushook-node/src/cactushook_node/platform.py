"""Client of the platform's configuration service, which is read over HTTP.

Only this module depends on the protocol of the platform:

* ``GET /v1/values/DIGEST`` returns the bytes of a published value.
* ``GET /v1/head?after=VERSION&wait_ms=N`` returns the head once its version is
  above ``VERSION``, or the present head after ``N`` milliseconds.
* ``GET /v1/hosts/DOMAIN`` returns the list of a failure domain's hosts.
* ``GET /v1/domains`` returns the names of the failure domains.
"""

import typing as t

import httpcore
import msgspec
import trio
from cactushook import ErrorKind
from cactushook import Head
from cactushook import HostRecord
from cactushook import Slot
from cactushook import SourceError

from . import bounded_http
from .bounded_http import CallLimits
from .metrics import Metrics
from .settings import PlatformSettings

CALL_TIMEOUT_S = 2.0
# Longest wait in one call of a node that others depend on.
READER_WATCH_MS = 1_000
# Within this time an answer that has begun must end.
ANSWER_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 1_048_576

T = t.TypeVar("T")


class Platform(t.Protocol):
    """Reads the platform's configuration service.

    Every method raises ``SourceError`` if the platform does not answer or its answer
    cannot be used.
    """

    async def watch_head(self, after_version: int, is_reader: bool) -> Head:
        """Waits for a head above a version."""

    async def read_value(self, digest: str) -> bytes:
        """Reads one published value."""

    async def read_domains(self) -> tuple[str, ...]:
        """Reads the names of the failure domains that have hosts."""

    async def read_hosts(self, domain: str) -> tuple[HostRecord, ...]:
        """Reads the host list of a failure domain."""


class HttpPlatform:
    """Reads the platform over HTTP.

    Args:
        settings: the address of the platform and the duration of a watch.
        metrics: counts the calls.
        reachable: slot that receives changes of the platform's reachability.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        metrics: Metrics,
        reachable: Slot[bool | None],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._reachable = reachable
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)

    async def watch_head(self, after_version: int, is_reader: bool) -> Head:
        """Waits for a head above a version.

        A reader's calls are short: a connection that has gone silent shows only when an
        answer is due.
        """
        left_ms = self._settings.watch_wait_ms
        while True:
            wait_ms = min(READER_WATCH_MS, left_ms) if is_reader else left_ms
            left_ms -= wait_ms
            ends_s = trio.current_time() + wait_ms / 1_000
            head = await self._watch_once(after_version, wait_ms)
            answered_early = trio.current_time() < ends_s
            if head.version > after_version or answered_early or not left_ms:
                return head

    async def _watch_once(self, after_version: int, wait_ms: int) -> Head:
        path = f"/v1/head?after={after_version}&wait_ms={wait_ms}"
        raw = await self._get(path, CALL_TIMEOUT_S + wait_ms / 1_000)
        return _decode(raw, Head, path)

    async def read_value(self, digest: str) -> bytes:
        """Reads one published value."""
        return await self._get(f"/v1/values/{digest}", CALL_TIMEOUT_S)

    async def read_domains(self) -> tuple[str, ...]:
        """Reads the names of the failure domains that have hosts."""
        path = "/v1/domains"
        raw = await self._get(path, CALL_TIMEOUT_S)
        return _decode(raw, tuple[str, ...], path)

    async def read_hosts(self, domain: str) -> tuple[HostRecord, ...]:
        """Reads the host list of a failure domain."""
        path = f"/v1/hosts/{domain}"
        raw = await self._get(path, CALL_TIMEOUT_S)
        return _decode(raw, tuple[HostRecord, ...], path)

    async def _get(self, path: str, read_s: float) -> bytes:
        limits = CallLimits(
            connect_s=CALL_TIMEOUT_S,
            pool_s=read_s,
            read_s=read_s,
            total_s=read_s + ANSWER_TIMEOUT_S,
            answer_bytes=MAX_ANSWER_BYTES,
        )
        url = f"http://{self._settings.address}{path}"
        try:
            answer = await bounded_http.get(self._pool, url, limits)
        except SourceError as error:
            self._metrics.source_calls.labels("failed").inc()
            self._set_reachable(False)
            raise SourceError(error.kind, f"{path}: {error.message}") from error
        self._set_reachable(True)
        if answer.status != 200:
            self._metrics.source_calls.labels("refused").inc()
            raise SourceError(
                ErrorKind.SOURCE_UNREACHABLE, f"{path}: status {answer.status}"
            )
        self._metrics.source_calls.labels("answered").inc()
        return answer.body

    def _set_reachable(self, reachable: bool) -> None:
        if self._reachable.value is not reachable:
            self._reachable.write(reachable)


def _decode(raw: bytes, kind: type[T], path: str) -> T:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise SourceError(
            ErrorKind.SOURCE_UNREACHABLE, f"{path}: cannot decode the answer: {error}"
        ) from error
