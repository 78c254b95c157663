"""Runs ASGI applications on hypercorn and defines their types."""

import logging
import typing as t

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

UNLIMITED_REQUESTS = 1_000_000_000
KEEP_ALIVE_S = 120

AsgiMessage: t.TypeAlias = dict[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[AsgiMessage]]
Send: t.TypeAlias = t.Callable[[AsgiMessage], t.Awaitable[None]]
HttpApplication: t.TypeAlias = t.Callable[
    [AsgiMessage, Receive, Send], t.Awaitable[None]
]


def http_config(*addresses: str) -> Config:
    """Returns a server configuration without access log and request limit."""
    config = Config()
    config.bind = list(addresses)
    config.accesslog = None
    config.errorlog = logging.getLogger("standins.http")
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = UNLIMITED_REQUESTS
    config.include_server_header = False
    return config


async def serve_http(
    application: HttpApplication,
    config: Config,
    task_status: trio.TaskStatus[t.Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application over HTTP until cancelled."""

    async def asgi(scope: AsgiMessage, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await application(scope, receive, send)

    await serve(
        asgi,
        config,
        shutdown_trigger=trio.sleep_forever,
        task_status=task_status,
        mode="asgi",
    )


async def send_response(
    send: Send, status: int, body: bytes, headers: t.Iterable[t.Any] = ()
) -> None:
    """Sends a complete response with its content length."""
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
