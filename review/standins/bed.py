"""Test bed of the review's scripts.

Holds stand-ins of the platform's store, of workers and of requesters, and runs the
project's nodes as processes of their own.

Needs only Python's standard library. The stand-ins live in the script's process; each
node is started with the command of ``deploy/system.toml`` after the build of the deploy
file. All addresses are loopback addresses: every machine has an IP of its own in
127.0.0.0/8, with the same ports on all of them.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As in `fleetbench wire` for a small installation (cpw-mesh).
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "stable_window_ms": 3000,
    "budget_ratio": 0.2,
    "budget_slack": 58,
    "budget_window_s": 10,
    "cold_overage": 1.5,
    "cold_slack": 5,
}
HEARTBEAT_MS = 1500
MEMORY_MB = 150
HOST = "ficu95.example"
ID = "x-cactushook-request-id"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be brought about; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``.

    Args:
        folder: the case's folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")  # noqa: SIM115
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns seconds since the start of the record."""
        return time.monotonic() - self._start

    def line(self, text: str) -> None:
        """Writes a line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line and shows it."""
        self.line(text)
        self._file.flush()
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass
class Message:
    """One HTTP message."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, is_answer: bool = False
) -> Message | None:
    """Reads one message; None if the connection ended before it.

    An answer without a length ends with its connection.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the connection ended in a head") from error
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return Message(start, headers, await _read_body(reader, headers, is_answer))


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], is_answer: bool
) -> bytes:
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    return body
                body += part[:-2]
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if is_answer else b""
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the connection ended in a body") from error


def encode_answer(
    status: int, headers: dict[str, str], body: bytes, reason: str = "OK"
) -> bytes:
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """Stand-in of the platform's store, as PROTOCOL.md describes it.

    It is linearizable and loses nothing: a stale read gets the present values too.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 1
        self._items: dict[str, dict[str, t.Any]] = {}
        self._history: list[dict[str, t.Any]] = []
        self._changed = asyncio.Event()
        self.watches_started: list[float] = []

    def put(self, key: str, value: t.Any, quiet: bool = False) -> float:
        """Writes a value and returns the time of the acknowledgement."""
        raw = json.dumps(value, separators=(",", ":")).encode()
        self._revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._publish(item)
        if not quiet:
            self._record.line(f"store: {key} = {raw.decode()[:300]}")
        return self._record.now()

    def put_beat(self, key: str, entry: dict[str, t.Any]) -> float:
        """Writes a worker's beat; the entry changes if more than `sequence` does."""
        known = self._items.get(key)
        if known is not None:
            before = json.loads(base64.b64decode(known["value"]))
            if before | {"sequence": 0} == entry | {"sequence": 0}:
                return self._record.now()
        return self.put(key, entry)

    def remove(self, key: str) -> float:
        """Removes a value and returns the time of the acknowledgement."""
        self._revision += 1
        self._items.pop(key, None)
        self._publish({"key": key, "revision": self._revision, "deleted": True})
        self._record.line(f"store: {key} removed")
        return self._record.now()

    def _publish(self, event: dict[str, t.Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        try:
            while (message := await read_message(reader)) is not None:
                target = message.start.split(" ")[1]
                status, body = await self._answer(target)
                raw = json.dumps(body).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, raw))
                await writer.drain()
        except (ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, t.Any]:
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        match parts.path:
            case "/cactushook/kv-key":
                item = self._items.get(query["key"])
                current = {"current_rev": self._revision}
                return (404, current) if item is None else (200, {**item, **current})
            case "/cactushook/kv-range":
                prefix, after = query.get("path_prefix", ""), query.get("after", "")
                keys = sorted(
                    k for k in self._items if k.startswith(prefix) and k > after
                )
                items = [self._items[key] for key in keys[:500]]
                more = len(keys) > 500
                return 200, {
                    "items": items,
                    "has_more": more,
                    "current_rev": self._revision,
                }
            case "/cactushook/kv-watch":
                return await self._watch(query)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, t.Any]:
        after = int(query["after"])
        prefix = query.get("path_prefix", "")
        self.watches_started.append(self._record.now())
        self._record.line(f"store: a watch begins after revision {after}")
        ends_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class QuietingProxy:
    """Relays connections to the store; open ones can be made to go silent for good.

    A silent connection is neither closed nor reset: its bytes get lost, as behind a
    firewall that has forgotten the connection. New connections work.

    Args:
        target: address of the store.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._connections: list[_Relayed] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection."""
        connection = _Relayed(time.monotonic())
        self._connections.append(connection)
        upstream_reader, upstream_writer = await asyncio.open_connection(*self._target)
        try:
            await asyncio.gather(
                connection.relay(reader, upstream_writer),
                connection.relay(upstream_reader, writer),
            )
        except ConnectionError:
            pass
        finally:
            connection.closed = True
            writer.close()
            upstream_writer.close()

    def silence(self, idle_s: float) -> tuple[int, int]:
        """Silences the open connections that carried nothing for `idle_s`.

        Returns:
            How many were silenced, and how many were open.
        """
        now = time.monotonic()
        open_ones = [c for c in self._connections if not (c.closed or c.silent)]
        chosen = [c for c in open_ones if now - c.used >= idle_s]
        for connection in chosen:
            connection.silent = True
        return len(chosen), len(open_ones)


class _Relayed:
    def __init__(self, now: float) -> None:
        self.used = now
        self.silent = False
        self.closed = False

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            if self.silent:
                continue
            self.used = time.monotonic()
            writer.write(data)
            await writer.drain()
        if self.silent:
            # The end of the connection gets lost too.
            await asyncio.sleep(3600)
        raise ConnectionResetError("one side has ended")


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that a worker has begun to run."""

    at: float
    request_id: str
    method: str
    path: str
    instance: str
    service: str


class Worker:
    """Stand-in of an application worker, as PROTOCOL.md describes it.

    Args:
        bed: the test bed.
        machine: the machine that hosts it.
        slots: requests that it runs at once.
        work_ms: returns how long a request takes.
    """

    def __init__(
        self,
        bed: "Bed",
        machine: "Machine",
        slots: int = 12,
        work_ms: t.Callable[["Worker", Message], float] = lambda w, m: 100.0,
    ) -> None:
        self.bed = bed
        self.machine = machine
        self.slots = slots
        self.work_ms = work_ms
        self.service = machine.service
        self.instance = f"i-{random.randrange(2**32):08x}"
        self.state = "ready"
        self.cold_until = 0.0
        self.sequence = 0
        self.born = 0
        self.running = 0
        self.arrivals: list[Arrival] = []
        self.on_run: t.Callable[[Worker, Message], None] = lambda w, m: None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    @property
    def key(self) -> str:
        """Its key in the store."""
        return f"servers/{self.instance}"

    async def start(self, cold_s: float = 0.0, new_id: bool = True) -> None:
        """Begins a lifetime and reports it to the store."""
        if new_id:
            self.instance = f"i-{random.randrange(2**32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.cold_until = time.monotonic() + cold_s if cold_s else 0.0
        ip, port = self.machine.ip, self.bed.ports["app"]
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.beat()
        self._beats = asyncio.create_task(self._run_beats())
        self.bed.record.line(
            f"worker {self.instance} of {self.service} starts on {ip}, "
            f"cold for {cold_s} s"
        )

    def stop(self, why: str) -> None:
        """Ends the lifetime at once, with its connections; nothing more is said."""
        if self._server is None:
            return
        self.bed.record.line(f"worker {self.instance} ends: {why}")
        self._server.close()
        self._server = None
        self.pause_beats()
        for writer in list(self._writers):
            writer.transport.abort()

    def pause_beats(self) -> None:
        """Ends the regular beats."""
        if self._beats is not None:
            self._beats.cancel()

    def drain(self) -> float:
        """Reports that it leaves; returns the time of the acknowledgement."""
        self.pause_beats()
        self.state = "draining"
        acked = self.beat()
        self._beats = asyncio.create_task(self._run_beats())
        return acked

    @property
    def is_up(self) -> bool:
        """Whether it runs."""
        return self._server is not None

    @property
    def cold_left_ms(self) -> int:
        """How much longer it is cold."""
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    def entry(self) -> dict[str, t.Any]:
        """Returns what it says of itself now."""
        return {
            "service": self.service,
            "address": f"{self.machine.ip}:{self.bed.ports['app']}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": self.cold_left_ms,
            "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self) -> float:
        """Writes to the store and returns the time of the acknowledgement."""
        self.sequence += 1
        return self.bed.store.put_beat(self.key, self.entry())

    async def _run_beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            self.beat()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer(message))
                await writer.drain()
        except (ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message: Message) -> bytes:
        method, path, _ = message.start.split(" ", 2)
        request_id = message.headers.get(ID, "")
        headers = {"X-Cactushook-Instance-Id": self.instance}
        if request_id:
            headers["X-Cactushook-Request-Id"] = request_id
        if path == "/healthz":
            if self.cold_left_ms:
                headers["X-Cactushook-Cold-Ms"] = str(self.cold_left_ms)
            status = 200 if self.state == "ready" else 503
            return encode_answer(status, headers, b"")
        target = message.headers.get("x-cactushook-target-instance")
        if target is not None and target != self.instance:
            return encode_answer(421, headers, b"", "Misdirected Request")
        if not request_id or self.running >= self.slots:
            headers["X-Cactushook-Not-Executed"] = "1"
            return encode_answer(503 if request_id else 400, headers, b"", "Not run")
        arrival = Arrival(
            self.bed.record.now(),
            request_id,
            method,
            path,
            self.instance,
            self.service,
        )
        self.arrivals.append(arrival)
        self.bed.arrivals.append(arrival)
        self.bed.record.line(
            f"run: {request_id} {method} {path} at {self.instance} ({self.service}, "
            f"{self.state}, cold {self.cold_left_ms} ms)"
        )
        self.on_run(self, message)
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms(self, message) / 1000)
        finally:
            self.running = max(0, self.running - 1)
        headers["X-Cactushook-Response-Signature"] = f"sig.{request_id}"
        load = f"{self.running},0,{self.slots}"
        headers["X-Cactushook-Server-Load"] = load
        return encode_answer(200, headers, f"{self.service} {request_id}".encode())


@dataclasses.dataclass(eq=False)
class Machine:
    """A machine with a node and a worker."""

    ip: str
    zone: str
    service: str
    process: asyncio.subprocess.Process | None = None
    started: float = 0.0
    starts: int = 0


@dataclasses.dataclass
class Sent:
    """One requester attempt and how it ended."""

    request_id: str
    at: float
    machine: Machine
    path: str
    status: int | None = None
    ended: float = 0.0
    body: bytes = b""


class Bed:
    """A small deployment on loopback addresses.

    Args:
        folder: the case's folder.
        layout: zone and service of each machine.
    """

    def __init__(
        self, folder: pathlib.Path, layout: t.Sequence[tuple[str, str]]
    ) -> None:
        self.record = Record(folder)
        self.store = Store(self.record)
        self.arrivals: list[Arrival] = []
        self.sent: list[Sent] = []
        # Machines whose requesters get no work at present.
        self.stopping: set[Machine] = set()
        self._network = f"127.{random.randrange(64, 224)}.{random.randrange(1, 255)}"
        self.machines = [
            Machine(f"{self._network}.{10 + index}", zone, service)
            for index, (zone, service) in enumerate(layout)
        ]
        self.store_ip = f"{self._network}.1"
        self.proxy_ip = f"{self._network}.2"
        self.ports = self._free_ports()
        self.proxy = QuietingProxy((self.store_ip, self.ports["store"]))
        self._uses_proxy = False
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._servers: list[asyncio.Server] = []
        self._numbers = 0

    def _free_ports(self) -> dict[str, int]:
        names = ("app", "outbound", "inbound", "ready", "control", "store", "metrics")
        ports: dict[str, int] = {}
        for name in names:
            while True:
                port = random.randrange(20000, 30000)
                if port not in ports.values() and all(
                    _is_free(ip, port)
                    for ip in (self.store_ip, self.proxy_ip)
                    + tuple(machine.ip for machine in self.machines)
                ):
                    ports[name] = port
                    break
        return ports

    async def start_store(self, uses_proxy: bool = False) -> None:
        """Starts the store, behind the proxy if wanted."""
        port = self.ports["store"]
        serve = self.store.serve
        self._servers.append(await asyncio.start_server(serve, self.store_ip, port))
        self._uses_proxy = uses_proxy
        if uses_proxy:
            serve = self.proxy.serve
            self._servers.append(await asyncio.start_server(serve, self.proxy_ip, port))

    def settings(self, machine: Machine) -> dict[str, t.Any]:
        """Returns what `platform/settings.jsonc` makes of the machine's fields."""
        ports = self.ports
        store_ip = self.proxy_ip if self._uses_proxy else self.store_ip
        return {
            "host": machine.ip,
            "domain": machine.zone,
            "region": "th-central",
            "service": machine.service,
            "node_listen": f"{machine.ip}:{ports['control']}",
            "public_listen": f"{machine.ip}:{ports['outbound']}",
            "internal_listen": f"{machine.ip}:{ports['inbound']}",
            "admin_listen": f"{machine.ip}:{ports['ready']}",
            "metrics_listen": f"{machine.ip}:{ports['metrics']}",
            "ready_path": "/cactushook/readyz",
            "peers": [f"{m.ip}:{ports['control']}" for m in self.machines[:3]],
            "worker": {
                "address": f"{machine.ip}:{ports['app']}",
                "instance_header": "X-Cactushook-Instance-Id",
            },
            "platform": {
                "address": f"{store_ip}:{ports['store']}",
                "watch_wait_ms": 10000,
            },
            "adapter": {
                "module": "cactushook_platform",
                "drain_ms": BOUNDS["drain_ms"],
                "heartbeat_ms": HEARTBEAT_MS,
                "cold_overage": BOUNDS["cold_overage"],
                "cold_slack_per_s": BOUNDS["cold_slack"],
            },
            "headers": {
                "request_id": "X-Cactushook-Request-Id",
                "timeout_ms": "X-Cactushook-Deadline-Ms",
                "hops": "",
                "attempts": "",
                "caller_service": "X-Cactushook-Caller-Service",
                "target_instance": "X-Cactushook-Target-Instance",
                "signature": "X-Cactushook-Response-Signature",
                "not_executed": "X-Cactushook-Not-Executed",
                "cold_remaining_ms": "X-Cactushook-Cold-Ms",
            },
            "retry": {
                "redirects": 3,
                "ratio": BOUNDS["budget_ratio"],
                "slack": BOUNDS["budget_slack"],
                "window_ms": BOUNDS["budget_window_s"] * 1000,
            },
            "gossip_period_ms": 700,
            "link_mbps": 1000.0,
            "linger_ms": 2400,
            "grace_ms": BOUNDS["grace_s"] * 1000,
        }

    async def start_node(self, machine: Machine) -> None:
        """Starts the machine's node with the command of the deploy file."""
        path = self._temporary / f"{machine.ip}.json"
        path.write_text(json.dumps(self.settings(machine)), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        command = [
            str(path) if word == "/etc/cactushook/settings.yaml" else word
            for word in words
        ]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CACTUSHOOK_SETTINGS": str(path),
        }
        log = (self._temporary / f"{machine.ip}.log").open("ab")  # noqa: SIM115
        machine.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        machine.started = self.record.now()
        machine.starts += 1
        self.record.line(f"node {machine.ip} starts")

    def log_of(self, machine: Machine) -> str:
        """Returns what a node has logged."""
        path = self._temporary / f"{machine.ip}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    async def wait_until_ready(self, machine: Machine, limit_s: float = 20.0) -> None:
        """Waits until the node answers that it is ready.

        Raises:
            CannotRunError: it did not.
        """
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            if await self.is_ready(machine):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"node {machine.ip} is not ready: {self.log_of(machine)}")

    async def is_ready(self, machine: Machine) -> bool:
        """Asks the node whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    machine.ip, self.ports["ready"]
                )
                writer.write(b"GET /cactushook/readyz HTTP/1.1\r\nHost: node\r\n\r\n")
                answer = await read_message(reader, True)
                writer.close()
                return answer is not None and " 200 " in answer.start
        except (OSError, TimeoutError):
            return False

    async def request(
        self,
        machine: Machine,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 2000,
        quiet: bool = False,
    ) -> Sent:
        """Sends a request of a new requester connection and records its end."""
        self._numbers += 1
        request_id = f"q{self._numbers:06d}{random.randrange(2**24):06x}"
        sent = Sent(request_id, self.record.now(), machine, path)
        self.sent.append(sent)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Cactushook-Request-Id: {request_id}\r\n"
            f"X-Cactushook-Deadline-Ms: {deadline_ms}\r\n"
        )
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        if not quiet:
            self.record.line(f"sent: {request_id} {method} {path} to {machine.ip}")
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(
                    machine.ip, self.ports["outbound"]
                )
                writer.write(head.encode() + b"\r\n" + body)
                await writer.drain()
                answer = await read_message(reader, True)
                if answer is not None:
                    sent.status = int(answer.start.split(" ")[1])
                    sent.body = answer.body
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        sent.ended = self.record.now()
        if not quiet:
            ended = "closed" if sent.status is None else str(sent.status)
            self.record.line(f"answered: {request_id} {ended}")
        return sent

    async def run_kept(
        self, machine: Machine, method: str, path: str, body: bytes, ends: list[Sent]
    ) -> None:
        """Sends one request after another on a kept connection, until it ends."""
        reader, writer = await asyncio.open_connection(
            machine.ip, self.ports["outbound"]
        )
        try:
            while True:
                self._numbers += 1
                request_id = f"k{self._numbers:06d}{random.randrange(2**24):06x}"
                sent = Sent(request_id, self.record.now(), machine, path)
                self.sent.append(sent)
                self.record.line(
                    f"sent: {request_id} {method} {path} to {machine.ip}, kept"
                )
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Cactushook-Request-Id: {request_id}\r\n"
                    "X-Cactushook-Deadline-Ms: 2000\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                try:
                    answer = await read_message(reader, True)
                except ConnectionError:
                    answer = None
                sent.ended = self.record.now()
                if answer is None:
                    self.record.line(f"closed without an answer: {request_id}")
                    ends.append(sent)
                    return
                sent.status = int(answer.start.split(" ")[1])
                self.record.line(f"answered: {request_id} {sent.status}")
                if answer.headers.get("connection", "").lower() == "close":
                    return
        finally:
            writer.close()

    async def keep_memory_limit(self, killed: list[Machine]) -> None:
        """Kills processes that exceed `memory_mb`, as DEPLOY.md says.

        Only anonymous memory counts here, which is less than what a process uses.
        """
        while True:
            for machine in self.machines:
                process = machine.process
                if process is None or process.returncode is not None:
                    continue
                used = _anonymous_mib(process.pid)
                if used > MEMORY_MB:
                    process.kill()
                    await process.wait()
                    killed.append(machine)
                    self.record.say(
                        f"node {machine.ip} uses {used:.0f} MB of {MEMORY_MB}: killed"
                    )
                    await asyncio.sleep(0.5)
                    await self.start_node(machine)
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Ends all processes that were started, and removes the temporary files."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for server in self._servers:
            server.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self._temporary}")
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)
        self.record.close()


def _anonymous_mib(pid: int) -> float:
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def service(name: str) -> dict[str, t.Any]:
    """Returns a service's resource."""
    return {
        "resource_type": "services",
        "metadata": {"name": name},
        "spec": {
            "health_path": "/healthz",
            "max_conns": 110,
            "protocol": "h1",
            "tls_enabled": False,
            "cold_start_s": 3.0,
            "cold_per_s": 16.0,
        },
    }


def route(prefix: str, kind: str, to: str, **more: t.Any) -> dict[str, t.Any]:
    """Returns a route's resource."""
    return {
        "resource_type": "routes",
        "metadata": {"name": f"r-{prefix.strip('/')}"},
        "spec": {
            "host": HOST,
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 1000,
            "slo_ms": 500,
            "priority": 1,
            "service": to,
            "max_attempts": 2,
            **more,
        },
    }


def limits() -> dict[str, t.Any]:
    """Returns the limits that `fleetbench wire` shows."""
    return {
        "resource_type": "limits",
        "metadata": {},
        "spec": {
            "header_bytes": 16384,
            "body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def run_case(
    folder: pathlib.Path,
    layout: t.Sequence[tuple[str, str]],
    case: t.Callable[[Bed], t.Awaitable[int]],
) -> t.NoReturn:
    """Runs a case and exits with its verdict."""

    async def run() -> int:
        bed = Bed(folder, layout)
        main = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, main.cancel)
        try:
            async with asyncio.timeout(110):
                verdict = await case(bed)
            words = {HELD: "the rule held", BROKEN: "the rule was BROKEN"}
            bed.record.say(words[verdict])
            return verdict
        except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
            bed.record.say(f"the case could not run: {error!r}")
            return CANNOT_RUN
        finally:
            await bed.close()

    try:
        verdict = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        verdict = CANNOT_RUN
    sys.exit(verdict)
