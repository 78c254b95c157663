"""A small HTTP server for the admin pages, separate from the one for callers."""

import dataclasses
import typing as t

import trio
from cactushook import Load
from cactushook import RequestError

from .environment import Environment
from .http_messages import ReplyStart
from .http_server import CallerGoneError
from .http_server import HttpConnection

TEXT_TYPE = b"text/plain; charset=utf-8"
PLACE = "admin"


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """An HTTP response of the admin address."""

    status: int
    body: bytes
    content_type: bytes = TEXT_TYPE


Answer: t.TypeAlias = t.Callable[[str, bytes], Page]


class PageServer:
    """Serves pages that are built in memory without waiting.

    Args:
        environment: the node's central object.
        answer: returns the page for a method and a target.
    """

    def __init__(self, environment: Environment, answer: Answer) -> None:
        self._environment = environment
        self._answer = answer

    async def serve(
        self, addresses: t.Iterable[str], task_status: trio.TaskStatus[t.Any]
    ) -> None:
        """Listens on all addresses until cancelled."""
        async with trio.open_nursery() as nursery:
            for address in addresses:
                ip, _, port = address.rpartition(":")
                await nursery.start(self._listen, ip, int(port))
            task_status.started()

    async def _listen(
        self, ip: str, port: int, task_status: trio.TaskStatus[t.Any]
    ) -> None:
        await trio.serve_tcp(self._accept, port, host=ip, task_status=task_status)

    async def _accept(self, stream: trio.SocketStream) -> None:
        http = HttpConnection(stream, self._environment.settings.limits)
        try:
            while (request := await http.receive()) is not None:
                page = self._answer(request.method, request.target)
                headers = ((b"content-type", page.content_type),)
                await http.emit(
                    ReplyStart(page.status, headers, page.body, True, Load())
                )
                if not http.prepare_next_request():
                    return
        except RequestError as error:
            await self._refuse(http, error)
        except (CallerGoneError, trio.BrokenResourceError) as error:
            self._environment.log.debug("admin_caller_gone", reason=repr(error))
        except Exception as error:
            self._environment.metrics.handler_failures.labels(PLACE).inc()
            self._environment.log.warning("admin_failed", reason=repr(error))

    async def _refuse(self, http: HttpConnection, error: RequestError) -> None:
        try:
            await http.refuse_and_close(error.kind, error.message)
        except (CallerGoneError, trio.BrokenResourceError) as gone:
            self._environment.log.debug("admin_caller_gone", reason=repr(gone))
