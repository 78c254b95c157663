"""Stand-in for a backend server.

* A request returns the worker's name; ``?ms=N`` delays the answer by N ms.
* ``?mb=N`` streams N mebibytes instead.
* ``?header=NAME`` returns the value of that request header instead.
* ``?crash=1`` ends the process.
* ``POST`` counts a run under the request's idempotency key.
* ``/_runs`` returns the counts and the highest number of concurrent requests.

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

MEBIBYTE = bytes(range(256)) * 4096


class Backend:
    """Runs requests and counts them.

    Args:
        name: worker name in the JSON answers.
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
            await self._send(send, self._encode_counts())
            return
        self._running += 1
        self._most_running = max(self._most_running, self._running)
        try:
            await self._handle(scope["method"], query, headers, send)
        finally:
            self._running -= 1

    async def _handle(
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

    def _encode_counts(self) -> bytes:
        counts = {"most_running": self._most_running, "runs": self._runs}
        return json.dumps(counts).encode()

    async def _stream(self, send: t.Any, mebibytes: int) -> None:
        length = str(mebibytes * len(MEBIBYTE)).encode()
        await self._start(send, length)
        for _ in range(mebibytes):
            await send(
                {"type": "http.response.body", "body": MEBIBYTE, "more_body": True}
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
