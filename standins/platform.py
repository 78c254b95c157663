"""Stand-in for the platform's configuration service: serves a directory, read-only.

The directory holds the output of ``cactushook bundle`` and ``hosts/DOMAIN.json``.
Run: ``python -m standins.platform IP:PORT DIRECTORY``.
"""

import json
import pathlib
import sys
import typing as t
import urllib.parse

import trio

from standins.asgi import http_config
from standins.asgi import send_response
from standins.asgi import serve_http

POLL_S = 0.02


class Platform:
    """Serves reads and watches from files.

    Args:
        directory: directory of the published files.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        """Serves one ASGI scope."""
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        body = await self._answer(scope["path"], query)
        await send_response(send, 404 if body is None else 200, body or b"")

    async def _answer(self, path: str, query: t.Any) -> bytes | None:
        match path.strip("/").split("/"):
            case ["v1", "head"]:
                after = int(query.get("after", ["0"])[0])
                return await self._watch(after, int(query.get("wait_ms", ["0"])[0]))
            case ["v1", "values", name]:
                return self._read(f"values/{name}")
            case ["v1", "domains"]:
                files = sorted((self._directory / "hosts").glob("*.json"))
                return json.dumps([file.stem for file in files]).encode()
            case ["v1", "hosts", domain]:
                return self._read(f"hosts/{domain}.json")
        return None

    async def _watch(self, after: int, wait_ms: int) -> bytes | None:
        raw = self._read("head.json")
        with trio.move_on_after(wait_ms / 1_000):
            while raw is None or json.loads(raw)["version"] <= after:
                await trio.sleep(POLL_S)
                raw = self._read("head.json")
        return raw

    def _read(self, name: str) -> bytes | None:
        path = self._directory / name
        return path.read_bytes() if path.is_file() else None


async def _main(address: str, directory: str) -> None:
    await serve_http(Platform(pathlib.Path(directory)), http_config(address))


if __name__ == "__main__":
    trio.run(_main, *sys.argv[1:3])
