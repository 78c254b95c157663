"""Pool of the connections to other nodes, one per address."""

import collections
import typing as t

import trio
from cactushook import ErrorKind
from cactushook import RequestError

from .environment import Environment
from .links import Link
from .links import LinkHandler
from .supervision import TaskStarter

CONNECT_TIMEOUT_S = 0.3
HELLO_TIMEOUT_S = 0.5
# How long a stopping node waits for a peer that has received everything.
CLOSE_LIMIT_S = 0.6
CLOSE_CHECK_S = 0.02


class LinkPool:
    """Holds connections to other nodes, one per address.

    Args:
        environment: the node's central object.
        handler: receives requests and control messages.
        tasks: runs the links.
    """

    def __init__(
        self, environment: Environment, handler: LinkHandler, tasks: TaskStarter
    ) -> None:
        self._environment = environment
        self._handler = handler
        self._tasks = tasks
        self._links: dict[str, Link] = {}
        self._running_links: set[Link] = set()
        self._listening = trio.CancelScope()
        self._is_closing = False
        self._locks: collections.defaultdict[str, trio.Lock] = collections.defaultdict(
            trio.Lock
        )
        self._failures: collections.Counter[str] = collections.Counter()

    async def listen(
        self,
        handlers: trio.Nursery,
        task_status: trio.TaskStatus[t.Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections of other nodes until `close`.

        Args:
            handlers: runs the connections.
            task_status: reports that the node listens.
        """
        ip, _, port = self._environment.settings.node_listen.rpartition(":")
        with self._listening:
            await trio.serve_tcp(
                self._accept,
                int(port),
                host=ip,
                handler_nursery=handlers,
                task_status=task_status,
            )

    async def get(self, address: str) -> Link:
        """Returns a link on which the node's hello has arrived.

        Raises:
            RequestError: the node cannot be reached; nothing was sent to it.
        """
        link = self._links.get(address)
        if _is_usable(link) and link.peer_hello is not None:
            return link
        if self._is_closing:
            raise _unreachable(address, "this node is stopping")
        failures = self._failures[address]
        async with self._locks[address]:
            link = self._links.get(address)
            if _is_usable(link):
                return link
            if self._failures[address] != failures:
                raise _unreachable(address, "a concurrent attempt failed")
            try:
                return await self._connect(address)
            except RequestError:
                self._failures[address] += 1
                raise

    def find(self, address: str) -> Link | None:
        """Returns the link that carries new requests to a node, if there is one."""
        link = self._links.get(address)
        return link if _is_usable(link) else None

    def open_links(self) -> list[tuple[str, Link]]:
        """Returns the links that are used for requests, with their addresses."""
        return [(a, link) for a, link in self._links.items() if _is_usable(link)]

    def register_incoming(self, link: Link) -> None:
        """Uses a connection that another node opened, unless a usable one exists."""
        address = link.peer_hello.host.address
        self._environment.mark_peer_responding(address)
        if not _is_usable(self._links.get(address)):
            self._links[address] = link

    async def close(self) -> None:
        """Leaves all links and waits until they have ended.

        Requests that cross the end of a link are still refused, and answers on their
        way still arrive. A peer that does not respond is waited for only while it has
        yet to take an answer.
        """
        self._is_closing = True
        self._listening.cancel()
        for link in self._running_links:
            link.retire()
        with trio.move_on_after(CLOSE_LIMIT_S):
            while self._running_links:
                await trio.sleep(CLOSE_CHECK_S)
        while any(not (link.is_idle or link.is_silent) for link in self._running_links):
            await trio.sleep(CLOSE_CHECK_S)

    async def _accept(self, stream: trio.SocketStream) -> None:
        await self._run(Link(self._environment, stream, self._handler), stream)

    async def _connect(self, address: str) -> Link:
        ip, _, port = address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(ip, int(port))
        except trio.TooSlowError as error:
            self._environment.mark_peer_silent(address)
            raise _unreachable(address, "it does not respond") from error
        except ValueError as error:
            raise _unreachable(address, f"the address is not valid: {error}") from error
        except OSError as error:
            # The host responds, though no node runs there.
            self._environment.mark_peer_responding(address)
            raise _unreachable(address, repr(error)) from error
        link = Link(self._environment, stream, self._handler)
        self._tasks.start_soon(self._run, link, stream)
        # The kernel accepts connections even for a stopped process.
        with trio.move_on_after(HELLO_TIMEOUT_S):
            await link.hello_received.wait()
        if link.peer_hello is None:
            # The node may have received this one's hello and have sent requests.
            link.retire()
            self._environment.mark_peer_silent(address)
            raise _unreachable(address, "it sent no hello")
        if not _is_usable(link):
            raise _unreachable(address, "it left the connection at once")
        self._links[address] = link
        return link

    async def _run(self, link: Link, stream: trio.SocketStream) -> None:
        self._running_links.add(link)
        try:
            async with stream:
                await link.run()
        finally:
            self._running_links.discard(link)
            self._remove(link)

    def _remove(self, link: Link) -> None:
        if link.peer_hello is None:
            return
        address = link.peer_hello.host.address
        if self._links.get(address) is link:
            del self._links[address]
            self._failures.pop(address, None)


def _is_usable(link: Link | None) -> bool:
    return link is not None and not link.closed and not link.retired


def _unreachable(address: str, reason: str) -> RequestError:
    return RequestError(
        ErrorKind.PEER_UNREACHABLE, f"cannot connect to node {address}: {reason}"
    )
