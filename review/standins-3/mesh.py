"""Stand-ins of the third review: store, worker, requester, and nodes as processes.

Only the standard library. Everything lies on loopback addresses; each host has its own
address, which its node and its worker share, as the pages say.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import typing as t
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
MIB = 1_048_576
_REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request"}
_EPOCH = time.monotonic()
# Ports that were given out, since one is free again until its owner listens.
_given_ports: set[int] = set()


def now_s() -> float:
    """Seconds since the start of the script."""
    return time.monotonic() - _EPOCH


class Record:
    """The file record.txt, one line for each event."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")

    def line(self, text: str) -> None:
        """Writes a line with the time since the start."""
        self._file.write(f"{now_s():8.3f} {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in rest if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Returns a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = bytearray()
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return bytes(body)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: kv-key, kv-range, kv-watch."""

    def __init__(self) -> None:
        self._revision = 1
        self._items: dict[str, dict[str, t.Any]] = {}
        self._history: list[dict[str, t.Any]] = []
        self._changed = asyncio.Event()
        self.address = ""

    def put(self, key: str, value: t.Any) -> None:
        """Writes a value: bytes as they are, anything else as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease": 0,
        }
        self._tell(self._items[key])

    def remove(self, key: str) -> None:
        """Removes a value."""
        self._revision += 1
        del self._items[key]
        self._tell({"key": key, "revision": self._revision, "deleted": True})

    def _tell(self, event: dict[str, t.Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: t.Any) -> None:
        """Serves one connection."""
        try:
            while head := await read_head(reader):
                parts = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(
                    urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
                )
                status, body = await self._answer(parts.path, query)
                raw = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} {_REASONS[status]}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, t.Any]:
        if path.endswith("/kv-key"):
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self._revision}
            return 200, {**item, "current_rev": self._revision}
        if path.endswith("/kv-range"):
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            return 200, {
                "items": [self._items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "current_rev": self._revision,
            }
        after_revision = int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after_revision
                and event["key"].startswith(query["path_prefix"])
            ]
            left_s = ends - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Worker:
    """A worker: runs requests for `work_ms` and answers with a receipt.

    The path says what is asked for: `/…/bytes/N` for a body of N bytes, `/…/ms/N` for
    other work.
    """

    def __init__(self, record: Record, ip: str, service: str, zone: str) -> None:
        self.record = record
        self.ip = ip
        self.service = service
        self.zone = zone
        self.instance = "i-" + os.urandom(4).hex()
        self.address = ""
        self.slots = 12
        self.running = 0
        self.work_ms = 100.0
        self.arrivals: list[tuple[str, str, int]] = []
        self.started: list[str] = []
        self.finished: list[str] = []
        self.on_run: t.Callable[[str, str], t.Awaitable[None]] | None = None
        self.misdirected_ms = 0.0
        self.misdirected = 0
        self.cold_until_s = 0.0
        self.is_down = False
        self._server: asyncio.Server | None = None
        self._writers: set[t.Any] = set()
        self.sequence = 0
        self.born = int(time.time() * 1_000)

    def entry(self, **fields: t.Any) -> dict[str, t.Any]:
        """The worker's entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": self.cold_left_ms,
            "sequence": self.sequence,
            "born": self.born,
            **fields,
        }

    async def listen(self) -> None:
        """Starts to listen, at the same port as before if there is one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(
            self.serve, self.ip, port, limit=2**18
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self.is_down = False

    def crash(self) -> None:
        """Ends as a crashed process does: all connections are reset."""
        self.is_down = True
        self.record.line(f"worker {self.instance} at {self.address} ends at once")
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def start_again(self) -> None:
        """Starts a new lifetime with a new id at the same address."""
        self.instance = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.running = 0
        self.cold_until_s = now_s() + 3.0
        await self.listen()
        self.record.line(f"worker {self.instance} starts at {self.address}")

    @property
    def cold_left_ms(self) -> int:
        """How much longer the worker stays cold."""
        return max(0, int(1_000 * (self.cold_until_s - now_s())))

    async def serve(self, reader: asyncio.StreamReader, writer: t.Any) -> None:
        """Serves one connection."""
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                if target == "/healthz":
                    cold = f"X-Cactushook-Cold-Ms: {self.cold_left_ms}"
                    self._write(writer, 200, b"", (self._load(), self._id(), cold))
                    await writer.drain()
                    continue
                wanted = headers.get("x-cactushook-target-instance", "")
                request_id = headers.get("x-cactushook-request-id", "")
                if wanted and wanted != self.instance:
                    self.misdirected += 1
                    await asyncio.sleep(self.misdirected_ms / 1_000)
                    self.record.line(
                        f"worker {self.instance} answers 421 to id {request_id}, "
                        f"which expects {wanted}"
                    )
                    echo = f"X-Cactushook-Request-Id: {request_id}"
                    self._write(writer, 421, b"", (self._id(), echo))
                    await writer.drain()
                    continue
                await self._run(method, target, request_id, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self, method: str, target: str, request_id: str, body: bytes, writer: t.Any
    ) -> None:
        self.arrivals.append((request_id, f"{method} {target}", len(body)))
        self.started.append(request_id)
        self.record.line(
            f"worker {self.instance} runs {method} {target} id {request_id} "
            f"body {len(body)} bytes"
        )
        self.running += 1
        try:
            if self.on_run is not None:
                await self.on_run(target, request_id)
            found = re.search(r"/ms/(\d+)", target)
            work_ms = float(found.group(1)) if found else self.work_ms
            await asyncio.sleep(work_ms / 1_000)
        finally:
            self.running -= 1
        found = re.search(r"/bytes/(\d+)", target)
        answer = b"x" * int(found.group(1)) if found else b"done " + request_id.encode()
        receipt = f"X-Cactushook-Response-Signature: s.{request_id}"
        echo = f"X-Cactushook-Request-Id: {request_id}"
        self.finished.append(request_id)
        self._write(writer, 200, answer, (receipt, echo, self._load()))
        await writer.drain()

    def _load(self) -> str:
        return f"X-Cactushook-Server-Load: {self.running},0,{self.slots}"

    def _id(self) -> str:
        return f"X-Cactushook-Instance-Id: {self.instance}"

    def _write(
        self, writer: t.Any, status: int, body: bytes, headers: t.Iterable[str]
    ) -> None:
        refused = ("X-Cactushook-Not-Executed: 1",) if status == 421 else ()
        lines = (
            f"HTTP/1.1 {status} {_REASONS[status]}",
            f"Content-Length: {len(body)}",
            *headers,
            *refused,
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Answer(t.NamedTuple):
    """What a requester got: status 0 without an answer, and the bytes of the body."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    sent_s: float
    body_sent_s: float
    ended_s: float


class Requester:
    """A requester with one kept connection, which it opens again after a close."""

    def __init__(self, record: Record, node: "Node", name: str, ip: str = "") -> None:
        self._record = record
        self._node = node
        self._name = name
        self._ip = ip
        self._connection: tuple[asyncio.StreamReader, t.Any] | None = None
        self.used = 0

    async def ask(
        self, method: str, path: str, body: bytes = b"", budget_ms: int = 2_000
    ) -> tuple[str, Answer]:
        """Sends a request and returns its id and its answer."""
        request_id = os.urandom(8).hex()
        sent_s = body_sent_s = now_s()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Cactushook-Request-Id: {request_id}\r\n"
            f"X-Cactushook-Deadline-Ms: {budget_ms}\r\n"
        )
        if body or method in ("POST", "PUT"):
            head += f"Content-Length: {len(body)}\r\n"
        status, headers, raw, complete = 0, {}, b"", False
        try:
            async with asyncio.timeout(budget_ms / 1_000):
                if self._connection is None:
                    self.used = 0
                    local = (self._ip, 0) if self._ip else None
                    self._connection = await asyncio.open_connection(
                        self._node.ip, self._node.outbound, local_addr=local
                    )
                reader, writer = self._connection
                writer.write(head.encode() + b"\r\n" + body)
                await writer.drain()
                body_sent_s = now_s()
                answer = await read_head(reader)
                if answer is not None:
                    status = int(answer[0].split(" ")[1])
                    headers = answer[1]
                    if "chunked" in headers.get("transfer-encoding", ""):
                        raw = await read_body(reader, headers)
                        complete = True
                    else:
                        length = int(headers.get("content-length", "0"))
                        received = bytearray()
                        while len(received) < length:
                            data = await reader.read(
                                min(65_536, length - len(received))
                            )
                            if not data:
                                break
                            received += data
                        raw = bytes(received)
                        complete = len(raw) == length
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            headers = {**headers, "(end)": type(error).__name__}
        self.used += 1
        if not complete or headers.get("connection") == "close":
            self.close()
        self._record.line(
            f"{self._name} {method} {path} id {request_id} body {len(body)} bytes "
            f"sent at {sent_s:.3f}: status {status or 'none'} "
            f"{headers.get('cactushook-error', '')} {len(raw)} bytes, "
            f"{'complete' if complete else 'not complete'} {headers.get('(end)', '')}"
        )
        return request_id, Answer(
            status, headers, raw, complete, sent_s, body_sent_s, now_s()
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


class Node:
    """A node as its own process, with the command of the deploy file."""

    def __init__(self, mesh: "Mesh", worker: Worker) -> None:
        self.mesh = mesh
        self.worker = worker
        self.ip = worker.ip
        self.outbound = free_port(self.ip)
        self.inbound = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.metrics = free_port(self.ip)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Writes the settings and starts the process."""
        settings = self.mesh.folder / f"settings-{self.ip}.yaml"
        settings.write_text(render(self))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "CACTUSHOOK_SETTINGS": str(settings),
        }
        log = (self.mesh.folder / f"log-{self.ip}.txt").open("a")
        command = ["-m", "cactushook_node.main", "run", "--settings", str(settings)]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=log,
        )

    async def is_ready(self) -> bool:
        """Asks for readiness, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /cactushook/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0] + " "

    async def wait_ready(self, limit_s: float = 25) -> None:
        """Waits until the node is ready; raises `SystemExit` if it is not."""
        ends = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends:
                print("a node is not ready", file=sys.stderr)
                raise SystemExit(2)
            await asyncio.sleep(0.2)

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self, field: str = "VmRSS") -> float:
        """The memory that the process holds, as the system tells it."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0.0
        found = re.search(rf"{field}:\s+(\d+)", text)
        return int(found.group(1)) / 1_024 if found else 0.0


class Mesh:
    """A small deployment: a store, workers, and a node beside each worker."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.nodes: list[Node] = []
        self.services: dict[str, dict[str, t.Any]] = {}
        self.routes: list[dict[str, t.Any]] = []
        self.version = 6
        self.drain_ms = 2_000
        self._base = f"127.{77 + os.getpid() % 100}.{1 + os.getpid() // 100 % 250}"
        self.node_port = 0
        self._beats: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Mesh":
        store = await asyncio.start_server(self.store.serve, f"{self._base}.250", 0)
        self.store.address = "{}:{}".format(*store.sockets[0].getsockname())
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for path in self.folder.glob("log-*.txt"):
                (pathlib.Path(logs) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()

    async def add(self, service: str, zone: str, **fields: t.Any) -> Node:
        """Adds a worker and a node beside it, which isn't started yet."""
        ip = f"{self._base}.{10 + len(self.nodes)}"
        worker = Worker(self.record, ip, service, zone)
        for name, value in fields.items():
            setattr(worker, name, value)
        await worker.listen()
        node = Node(self, worker)
        self.nodes.append(node)
        self.services.setdefault(
            service,
            {
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls_enabled": False,
                "cold_start_s": 3.0,
                "cold_per_s": 16.0,
            },
        )
        return node

    def route(self, path_prefix: str, kind: str, service: str, **fields: t.Any) -> None:
        """Adds a route."""
        spec = {
            "host": HOST,
            "path_prefix": path_prefix,
            "kind": kind,
            "timeout_ms": 1_200,
            "slo_ms": 600,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            **fields,
        }
        name = "r-" + path_prefix.strip("/")
        self.routes.append(
            {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}
        )

    def publish(self) -> None:
        """Writes the configuration to the store."""
        self.version += 1
        resources = [
            *self.routes,
            *(
                {"resource_type": "services", "metadata": {"name": n}, "spec": s}
                for n, s in self.services.items()
            ),
            {
                "resource_type": "limits",
                "metadata": {},
                "spec": {
                    "header_bytes": 16_384,
                    "body_bytes": 64 * MIB,
                    "header_timeout_ms": 3_000,
                    "idle_timeout_ms": 15_000,
                },
            },
        ]
        value = {"version": f"r{self.version}", "resources": resources}
        self.store.put("op/config", value)
        self.record.line(f"operator: configuration r{self.version}")

    def enter(self, worker: Worker, **fields: t.Any) -> None:
        """Writes a worker's entry to the store."""
        entry = worker.entry(**fields)
        self.store.put(f"servers/{worker.instance}", entry)
        self.record.line(f"store: servers/{worker.instance} {json.dumps(entry)}")

    async def start(self) -> None:
        """Starts all nodes, writes all entries, and waits until all are ready."""
        self.node_port = free_port(*(node.ip for node in self.nodes))
        self.publish()
        for node in self.nodes:
            self.enter(node.worker)
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        # Traffic starts ten seconds after the machines; no time bound runs before.
        await asyncio.sleep(4)


def free_port(*ips: str) -> int:
    """Returns a port that is free on all addresses."""
    while True:
        with socket.socket() as first:
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
        if port in _given_ports:
            continue
        try:
            for ip in ips[1:]:
                with socket.socket() as other:
                    other.bind((ip, port))
        except OSError:
            continue
        _given_ports.add(port)
        return port


def render(node: Node) -> str:
    """Fills in the template of the settings with a small deployment's values."""
    mesh = node.mesh
    values = {
        "ip": node.ip,
        "zone": node.worker.zone,
        "region": "th-central",
        "service": node.worker.service,
        "listen_addrs.control": f"{node.ip}:{mesh.node_port}",
        "listen_addrs.outbound": f"{node.ip}:{node.outbound}",
        "listen_addrs.inbound": f"{node.ip}:{node.inbound}",
        "listen_addrs.ready": f"{node.ip}:{node.ready}",
        "seeds": [f"{other.ip}:{mesh.node_port}" for other in mesh.nodes],
        "app_addr": node.worker.address,
        "platform.address": mesh.store.address,
        "limits.link_mbps": 1_000.0,
        "heartbeat_ms": 1_500,
        "bounds.drain_ms": mesh.drain_ms,
        "bounds.cold_overage": 1.5,
        "bounds.cold_slack": 5,
        "bounds.budget_ratio": 0.2,
        "bounds.budget_slack": 58,
        "bounds.budget_window_s": 10,
        "bounds.grace_s": 6,
    }
    text = (REPOSITORY / "platform" / "settings.jsonc").read_text()

    def section(match: re.Match[str]) -> str:
        value = values.get(match.group(1))
        return "" if value is None else match.group(2).replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    text = re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(values[m.group(1)]), text
    )
    text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values[m.group(1)]), text)
    return text.replace(f'"{node.ip}:9464"', f'"{node.ip}:{node.metrics}"')


def run(case: t.Callable[[Mesh], t.Awaitable[bool]], folder: str) -> None:
    """Runs a case, which returns whether the rule held, and exits as the issue says."""

    async def main() -> bool:
        async with asyncio.timeout(110), Mesh(pathlib.Path(folder)) as mesh:
            held = await case(mesh)
            mesh.record.line("the rule held" if held else "the rule was broken")
            return held

    try:
        held = asyncio.run(main())
    except SystemExit:
        raise
    except BaseException as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(0 if held else 1)
