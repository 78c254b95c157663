"""Stand-ins and process control for the scripts of the second review.

One asyncio process plays the platform's store, the backend servers and the requesters.
The nodes are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SIGNATURE = "X-Cactushook-Response-Signature"
REQUEST_ID = "X-Cactushook-Request-Id"
# The template names this port; it is the same on all machines.
METRICS_PORT = 9464
HEARTBEAT_S = 1.5

# Bounds of cpw-mesh (SYSTEM.md); a script may change single ones.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recovery_s": 15,
}


class Record:
    """Writes `record.txt`: one line for each thing that is seen."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self._file = self.path.open("w")
        self._start = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def line(self, text):
        """Writes one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        """Closes the file."""
        self._file.close()


async def read_head(reader):
    """Reads a message's first line and headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Reads a message's body."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def response(status, headers, body):
    """Encodes a response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: values, a revision counter, range reads and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, ip, port):
        """Listens for the nodes."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def put(self, key, value):
        """Writes a value as JSON."""
        self.revision += 1
        raw = json.dumps(value, separators=(",", ":")).encode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._event(item)

    def remove(self, key):
        """Removes a value."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._event({"key": key, "revision": self.revision, "deleted": True})

    def _event(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                status, body = await self._answer(first.split(" ")[1])
                raw = json.dumps(body).encode()
                writer.write(
                    response(status, {"Content-Type": "application/json"}, raw)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        from urllib.parse import parse_qsl
        from urllib.parse import urlsplit

        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        prefix = query.get("path_prefix", "")
        if parts.path == "/cactushook/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if parts.path == "/cactushook/kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(prefix) and k > query.get("after", "")
            )
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "has_more": len(keys) > 500,
                "current_rev": self.revision,
            }
        if parts.path == "/cactushook/kv-watch":
            after = int(query.get("after", "0"))
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [
                    e
                    for e in self.history
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                changed = self._changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
        return 404, {}


class Worker:
    """A backend server with slots; it registers itself and writes heartbeats.

    Attributes:
        run: coroutine function (worker, request) -> (status, headers, body) that plays
            one run. A worker runs at most `slots` requests and queues the rest.
    """

    def __init__(self, record, store, service, ip, port, zone, slots=12):
        self.record = record
        self.store = store
        self.service = service
        self.ip, self.port, self.zone = ip, port, zone
        self.slots = slots
        self.run = None
        self.health = None
        self.cold_ms = 0
        self._cold_until = 0.0
        self.running = 0
        self.waiting = 0
        self.id = ""
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.is_up = False
        self.drops_on_close = True
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._semaphore = None
        self._beat_task = None
        self.life = 0

    @property
    def cold_left_ms(self):
        """Returns how much longer the worker is cold."""
        return max(0, int(1000 * (self._cold_until - time.monotonic())))

    async def start(self, cold_ms=0, keep_id=False):
        """Starts a new lifetime, mostly with a new id."""
        if not (keep_id and self.id):
            self.id = f"i-{random.getrandbits(40):010x}"
        self.life += 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = self.waiting = 0
        self._cold_until = time.monotonic() + cold_ms / 1000
        self._semaphore = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=2**20, backlog=500
        )
        self.is_up = True
        self.record.line(f"worker {self.ip} starts as {self.id} ({self.service})")
        self._beat_task = asyncio.create_task(self._beat())

    def register(self):
        """Writes the worker's entry to the store."""
        self.sequence += 1
        self.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": self.cold_left_ms,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends at once: all connections are reset and the port has no listener."""
        if not self.is_up:
            return
        self.is_up = False
        self.record.line(f"worker {self.ip} ({self.id}) crashes")
        self._beat_task.cancel()
        # The store removes an entry after three heartbeat intervals of silence.
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._lapse, self.id, self.born
        )
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    def _lapse(self, instance, born):
        if not (self.is_up and self.id == instance and self.born != born):
            self.store.remove(f"servers/{instance}")

    def stop(self):
        """Ends the worker at the end of a case."""
        if self.is_up:
            self.crash()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        life = self.life
        try:
            while life == self.life and self.is_up:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                raw = await self._answer(method, target, headers, body, reader)
                if raw is None or life != self.life or not self.is_up:
                    return
                writer.write(raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def _common(self, headers):
        own = {}
        if headers.get(REQUEST_ID.lower()):
            own[REQUEST_ID] = headers[REQUEST_ID.lower()]
        own["X-Cactushook-Server-Load"] = f"{self.running},{self.waiting},{self.slots}"
        return own

    async def _answer(self, method, target, headers, body, reader):
        common = self._common(headers)
        if target.startswith("/healthz"):
            if self.health is not None:
                return self.health(self, common)
            common["X-Cactushook-Instance-Id"] = self.id
            common["X-Cactushook-Cold-Ms"] = str(self.cold_left_ms)
            return response(200, common, b"")
        wanted = headers.get("x-cactushook-target-instance", "")
        if wanted and wanted != self.id:
            common["X-Cactushook-Instance-Id"] = self.id
            return response(421, common, b"")
        if self.waiting >= 4 * self.slots:
            common["X-Cactushook-Not-Executed"] = "1"
            return response(503, common, b"")
        self.waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        request_id = headers.get(REQUEST_ID.lower(), "")
        self.record.line(f"worker {self.ip} runs {request_id} {method} {target}")
        try:
            request = (method, target, headers, body)
            if not self.drops_on_close:
                result = await self.run(self, request)
            else:
                run = asyncio.ensure_future(self.run(self, request))
                closed = asyncio.ensure_future(_wait_closed(reader))
                await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not run.done():
                    run.cancel()
                    return None
                result = run.result()
            if result is None:
                return None
            status, extra, answer = result
            sent = {**self._common(headers), **extra}
            sent[SIGNATURE] = f"{self.id}.{random.getrandbits(32):08x}"
            return response(status, sent, answer)
        finally:
            self.running -= 1
            self._semaphore.release()


async def _wait_closed(reader):
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing() and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Node:
    """A node as a process of its own."""

    def __init__(self, record, folder, name, settings):
        self.record = record
        self.name = name
        self.settings = settings
        self.path = pathlib.Path(folder) / f"{name}.jsonc"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        self.starts = 0

    async def start(self):
        """Starts the process by the command of the deploy file."""
        self.path.write_text(render(self.settings))
        command = deploy_command(self.path)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CACTUSHOOK_SETTINGS"] = str(self.path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.starts += 1
        self.record.line(f"node {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.line(f"node {self.name} gets {signal.Signals(number).name}")

    async def stop_gracefully(self, grace_s):
        """SIGTERM, then SIGKILL after the grace time, as the platform does."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.line(f"node {self.name} ended: {self.process.returncode}")

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def ready(self, timeout_s=20):
        """Waits until the node says that it is ready."""
        ip, _, port = self.settings["network"]["listen_addrs"]["ready"].rpartition(":")
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                answer = await get_once(ip, int(port), "/cactushook/readyz")
                if answer == 200:
                    self.record.line(f"node {self.name} is ready")
                    return True
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def kill(self):
        """Ends the process."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def get_once(ip, port, path):
    """Sends one GET request and returns the status."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
        first, _ = await asyncio.wait_for(read_head(reader), 1)
        return int(first.split(" ")[1])
    finally:
        writer.close()


def deploy_command(settings_path):
    """Returns the command of the deploy file, with the path of the settings file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    words = role["run"].split(" ")
    if words[0] == "python3":
        words[0] = sys.executable
    return [
        str(settings_path) if word == "/etc/cactushook/settings.yaml" else word
        for word in words
    ]


def render(values):
    """Fills in the template of the deploy file (DEPLOY.md)."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    text = (ROOT / role["template"]).read_text()
    flat = {}
    for table in values.values():
        flat.update(table)
    return _render(text, flat, None)


def _lookup(scope, name):
    found = scope
    for part in name.split("."):
        if not isinstance(found, dict) or part not in found:
            return None
        found = found[part]
    return found


def _render(text, scope, current):
    def section(match):
        value = _lookup(scope, match[1])
        if value is None or value is False:
            return ""
        return _render(match[2], scope, value)

    def plain(match):
        name, _, form = match[1].partition("|")
        value = current if name == "." else _lookup(scope, name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", plain, text)


class Answer:
    """What a requester saw: the status, or why there is none."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.headers = {}
        self.body = b""
        self.sent_s = 0.0
        self.head_s = None
        self.ended_s = None
        self.end = ""


class Requester:
    """Sends requests to one node from an address that is not the worker's."""

    def __init__(self, record, source_ip, ip, port, host):
        self.record = record
        self.source_ip = source_ip
        self.ip, self.port, self.host = ip, port, host

    async def send(
        self,
        method,
        path,
        deadline_ms,
        body=b"",
        request_id=None,
        log=True,
        chunked=False,
    ):
        """Sends one request and returns what came back."""
        answer = Answer(request_id or f"{random.getrandbits(64):016x}")
        answer.sent_s = self.record.now()
        if log:
            self.record.line(f"sent {answer.request_id} {method} {path} to {self.ip}")
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._exchange(answer, method, path, deadline_ms, body, chunked)
        except TimeoutError:
            answer.end = "the requester's time is up"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.end = f"connection ended: {error!r}"
        answer.ended_s = self.record.now()
        if log:
            self.record.line(
                f"answer {answer.request_id} "
                f"{answer.status if answer.end == 'whole' else answer.end} "
                f"({answer.headers.get('cactushook-error', '')})"
            )
        return answer

    async def stream(self, path, deadline_ms, body, chunk_bytes):
        """Sends a POST whose body is in chunks, and returns what came back."""
        parts = (
            body[start : start + chunk_bytes]
            for start in range(0, len(body), chunk_bytes)
        )
        encoded = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        return await self.send(
            "POST", path, deadline_ms, encoded + b"0\r\n\r\n", chunked=True
        )

    async def _exchange(self, answer, method, path, deadline_ms, body, chunked):
        reader, writer = await asyncio.open_connection(
            self.ip, self.port, local_addr=(self.source_ip, 0)
        )
        try:
            head = [
                f"{method} {path} HTTP/1.1",
                f"Host: {self.host}",
                f"{REQUEST_ID}: {answer.request_id}",
                f"X-Cactushook-Deadline-Ms: {deadline_ms}",
            ]
            if chunked:
                head.append("Transfer-Encoding: chunked")
            elif body or method != "GET":
                head.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            answer.head_s = self.record.now()
            answer.body = await read_body(reader, answer.headers)
            answer.end = "whole"
        finally:
            writer.close()


class Deployment:
    """A small deployment on loopback addresses, one machine per address."""

    def __init__(self, folder, link_mbps=1000.0, memory_mb=150, bounds=None):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = random.randrange(1, 250)
        while not all(_is_free(ip, METRICS_PORT) for ip in self._probe_ips()):
            self.net = random.randrange(1, 250)
        self.ports = free_ports(6, self._probe_ips())
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.link_mbps = link_mbps
        self.memory_mb = memory_mb
        self.store = Store(self.record)
        self.workers = []
        self.nodes = []
        self.host = "dealers.example"

    def _probe_ips(self):
        return [self.ip(n) for n in range(0, 12)]

    def ip(self, n, last=1):
        """Returns a machine's address, or that of its requesters."""
        return f"127.{self.net}.{n}.{last}"

    async def start_store(self):
        """Starts the store."""
        await self.store.start(self.ip(0), self.ports[0])

    def add_machine(self, service, zone, slots=12):
        """Adds a machine with a worker and a node."""
        n = len(self.nodes) + 1
        ip = self.ip(n)
        ready, outbound, inbound, control, app = self.ports[1:6]
        worker = Worker(self.record, self.store, service, ip, app, zone, slots)
        self.workers.append(worker)
        settings = {
            "local": {
                "node_name": f"sidecar-{zone}-{n}",
                "ip": ip,
                "zone": zone,
                "region": "th-central",
                "limits": {
                    "cpu_share": 0.86,
                    "cores": 1,
                    "memory_mb": self.memory_mb,
                    "max_fds": 4100,
                    "link_mbps": self.link_mbps,
                    "disk_mb": 0,
                },
                "app_addr": f"{ip}:{app}",
                "service": service,
            },
            "network": {
                "listen_addrs": {
                    "ready": f"{ip}:{ready}",
                    "outbound": f"{ip}:{outbound}",
                    "inbound": f"{ip}:{inbound}",
                    "control": f"{ip}:{control}",
                },
                "port_range": [7660, 7675],
                "seeds": [],
            },
            "platform": {
                "heartbeat_ms": 1500,
                "platform": {"address": f"{self.ip(0)}:{self.ports[0]}"},
            },
            "timing": {"bounds": self.bounds},
        }
        self.nodes.append(Node(self.record, self.folder, f"n{n}", settings))
        return worker, self.nodes[-1]

    async def start_nodes(self):
        """Starts all nodes and waits until they are ready."""
        seeds = [
            node.settings["network"]["listen_addrs"]["control"]
            for node in self.nodes[:3]
        ]
        for node in self.nodes:
            node.settings["network"]["seeds"] = seeds
        await asyncio.gather(*(node.start() for node in self.nodes))
        ready = await asyncio.gather(*(node.ready() for node in self.nodes))
        if not all(ready):
            for node in self.nodes:
                print(node.log_path.read_text()[-500:], file=sys.stderr)
            raise RuntimeError("a node did not get ready")

    def requester(self, n):
        """Returns requesters at machine n (counted from 1)."""
        return Requester(
            self.record, self.ip(n, 2), self.ip(n), self.ports[2], self.host
        )

    def put_config(self, number, routes, services, limits=None):
        """Writes a configuration, as the operator does."""
        resources = [
            {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}
            for name, spec in routes.items()
        ]
        resources += [
            {"resource_type": "services", "metadata": {"name": name}, "spec": spec}
            for name, spec in services.items()
        ]
        resources.append(
            {
                "resource_type": "limits",
                "metadata": {},
                "spec": limits
                or {
                    "header_bytes": 16384,
                    "body_bytes": 67108864,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            }
        )
        self.store.put("op/config", {"version": f"r{number}", "resources": resources})
        self.record.line(f"configuration r{number} is acknowledged")

    async def close(self):
        """Ends everything that was started."""
        await asyncio.gather(*(node.kill() for node in self.nodes))
        for worker in self.workers:
            worker.stop()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def service_spec(cold_per_s=16.0, max_conns=110):
    """Returns a service of the configuration."""
    return {
        "health_path": "/healthz",
        "max_conns": max_conns,
        "protocol": "h1",
        "tls_enabled": False,
        "cold_start_s": 3.0,
        "cold_per_s": cold_per_s,
    }


def free_ports(count, ips):
    """Returns ports that are free at all addresses."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        if port in ports:
            continue
        if all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def main(folder, play, limit_s=110, **options):
    """Plays a case; exits with 1 if the rule broke, 0 if it held, 2 if neither."""

    async def run():
        deployment = Deployment(folder, **options)
        try:
            async with asyncio.timeout(limit_s):
                return await play(deployment)
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)
