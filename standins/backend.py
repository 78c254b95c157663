"""Stand-in of a backend server.

* ``GET`` answers the worker's name; ``?ms=N`` makes it take that long.
* ``GET`` with ``?mb=N`` streams that many megabytes.
* ``GET`` with ``?header=NAME`` answers the value of that request header.
* ``POST`` counts a run under the request's key; ``?crash=1`` ends the process.
* ``GET /_runs`` answers the counts and the most requests seen at once.

Run: ``python -m standins.backend IP:PORT NAME``.
"""

import collections
import json
import os
import sys
import typing as t
import urllib.parse
import uuid

import trio

from standins.asgi import http_config
from standins.asgi import serve_http

MEGABYTE = bytes(range(256)) * 4096


class Backend:
    """Runs requests and counts them.

    Args:
        name: told in every answer.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._instance = uuid.uuid4().hex.encode()
        self._runs: collections.Counter[str] = collections.Counter()
        self._running = 0
        self._most_running = 0

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        """Serves one ASGI scope."""
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        headers = dict(scope["headers"])
        while (await receive()).get("more_body", False):
            pass
        if scope["path"] == "/_runs":
            await self._send(send, self._counts())
            return
        self._running += 1
        self._most_running = max(self._most_running, self._running)
        try:
            await self._run(scope["method"], query, headers, send)
        finally:
            self._running -= 1

    async def _run(
        self, method: str, query: t.Any, headers: t.Any, send: t.Any
    ) -> None:
        if method == "POST":
            self._runs[headers.get(b"idempotency-key", b"").decode()] += 1
        if query.get("crash"):
            os._exit(1)
        await trio.sleep(float(query.get("ms", 0)) / 1_000)
        if query.get("mb"):
            await self._stream(send, int(query["mb"]))
        elif query.get("header"):
            await self._send(send, headers.get(query["header"].encode(), b""))
        else:
            answer = {"worker": self._name, "run": sum(self._runs.values())}
            await self._send(send, json.dumps(answer).encode())

    def _counts(self) -> bytes:
        counts = {"most_running": self._most_running, "runs": self._runs}
        return json.dumps(counts).encode()

    async def _stream(self, send: t.Any, megabytes: int) -> None:
        length = str(megabytes * len(MEGABYTE)).encode()
        await self._start(send, length)
        for _ in range(megabytes):
            await send(
                {"type": "http.response.body", "body": MEGABYTE, "more_body": True}
            )
        await send({"type": "http.response.body", "body": b""})

    async def _send(self, send: t.Any, body: bytes) -> None:
        await self._start(send, str(len(body)).encode())
        await send({"type": "http.response.body", "body": body})

    async def _start(self, send: t.Any, length: bytes) -> None:
        headers = [(b"content-length", length), (b"worker-instance", self._instance)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


async def _main(address: str, name: str) -> None:
    await serve_http(Backend(name), http_config(address))


if __name__ == "__main__":
    trio.run(_main, *sys.argv[1:3])
