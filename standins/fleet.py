"""Runs a fleet of real processes on free local ports."""

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import socket
import subprocess
import sys
import time
import typing as t
import uuid

import httpcore

BIN = pathlib.Path(sys.executable).parent
START_LIMIT_S = 20.0
# Environment variable with the first port of a range reserved for this process.
PORTS_ENV_VARIABLE = "CACTUSHOOK_TEST_PORTS"
PORTS_PER_PROCESS = 500
_port_numbers = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class HostSpec:
    """Holds the name, location and service of one host."""

    name: str
    domain: str
    region: str
    service: str


@dataclasses.dataclass(slots=True)
class Host:
    """Holds the addresses and processes of one host: a node and its backend server."""

    spec: HostSpec
    node_address: str
    public_address: str
    internal_address: str
    admin_address: str
    worker_address: str
    node: subprocess.Popen[bytes] | None = None
    worker: subprocess.Popen[bytes] | None = None


def free_addresses(count: int) -> list[str]:
    """Returns local addresses that were free at the time of the call.

    If ``PORTS_ENV_VARIABLE`` holds the first port of a range, the ports are taken from
    that range, so that concurrent processes do not choose the same ones.
    """
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        _bind(sock)
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def _bind(sock: socket.socket) -> None:
    """Binds a socket to a free port."""
    if PORTS_ENV_VARIABLE not in os.environ:
        sock.bind(("127.0.0.1", 0))
        return
    first_port = int(os.environ[PORTS_ENV_VARIABLE])
    for _ in range(PORTS_PER_PROCESS):
        port = first_port + next(_port_numbers) % PORTS_PER_PROCESS
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            # The port is in use; the next one may be free.
            continue
        return
    raise OSError(f"no port is free from {first_port} on")


def new_idempotency_key() -> str:
    """Returns a new idempotency key, a version 7 UUID, for an at-most-once request."""
    random_bits = uuid.uuid4().int & ((1 << 74) - 1)
    low = random_bits & ((1 << 62) - 1)
    high = (int(time.time() * 1_000) << 16) | (7 << 12) | (random_bits >> 62)
    return str(uuid.UUID(int=(high << 64) | (0b10 << 62) | low))


def copy_configuration(
    source: pathlib.Path,
    target: pathlib.Path,
    team_file: str,
    changes: t.Mapping[str, str],
) -> None:
    """Copies a configuration and replaces texts of one team file, which must occur."""
    shutil.copytree(source, target)
    path = target / team_file
    text = path.read_text(encoding="utf-8")
    for old, new in changes.items():
        if old not in text:
            raise ValueError(f"{team_file} does not contain {old!r}")
        text = text.replace(old, new)
    path.write_text(text, encoding="utf-8")


class LocalFleet:
    """Runs the platform, backend servers and nodes as real processes.

    Args:
        config: directory of team files and the operators' file.
        work: directory for published files, settings and logs.
        host_specs: the hosts to run.
        node_settings: node settings that differ from the defaults.
    """

    def __init__(
        self,
        config: pathlib.Path,
        work: pathlib.Path,
        host_specs: t.Sequence[HostSpec],
        node_settings: dict[str, t.Any] | None = None,
    ) -> None:
        self._config = config
        self._work = work
        self._node_settings = node_settings or {}
        self._published = work / "published"
        addresses = free_addresses(1 + 5 * len(host_specs))
        self.platform_address = addresses[0]
        self.platform: subprocess.Popen[bytes] | None = None
        self.hosts = {
            spec.name: Host(spec, *addresses[1 + 5 * i : 6 + 5 * i])
            for i, spec in enumerate(host_specs)
        }
        self._http = httpcore.ConnectionPool(max_connections=50)

    def start(self) -> None:
        """Publishes, starts all processes and waits until all nodes are ready."""
        self.prepare()
        self.start_platform()
        for host in self.hosts.values():
            self.start_worker(host)
            self.start_node(host)
        for host in self.hosts.values():
            self.wait_until_ready(host)

    def prepare(self) -> None:
        """Publishes the configuration and the host list; starts no process."""
        self._work.mkdir(parents=True, exist_ok=True)
        self.publish()
        self._write_hosts()

    def publish(self) -> str:
        """Runs ``cactushook bundle`` and returns its output."""
        return self.run_command(
            "bundle", str(self._config), "--out", str(self._published)
        )

    def run_command(self, *arguments: str) -> str:
        """Runs the ``cactushook`` command and returns its output."""
        done = subprocess.run(
            [BIN / "cactushook", *arguments], check=True, capture_output=True, text=True
        )
        return done.stdout.strip()

    def start_platform(self) -> None:
        """Starts the stand-in for the configuration service."""
        self.platform = self._spawn(
            "platform",
            [
                sys.executable,
                "-m",
                "standins.platform",
                self.platform_address,
                str(self._published),
            ],
        )

    def start_worker(self, host: Host) -> None:
        """Starts a host's backend server."""
        host.worker = self._spawn(
            f"{host.spec.name}.worker",
            [
                sys.executable,
                "-m",
                "standins.backend",
                host.worker_address,
                host.spec.name,
            ],
        )

    def start_node(self, host: Host) -> None:
        """Starts a host's node."""
        path = self._work / f"{host.spec.name}.jsonc"
        path.write_text(json.dumps(self._settings(host)), encoding="utf-8")
        host.node = self._spawn(
            host.spec.name, [BIN / "cactushookd", "run", "--settings", str(path)]
        )

    def wait_until_ready(self, host: Host) -> None:
        """Waits until a node reports that it is ready."""
        self.wait_until(lambda: self.get_admin(host, "/readyz").status == 200)

    def wait_until(
        self, condition: t.Callable[[], bool], limit_s: float = START_LIMIT_S
    ) -> float:
        """Waits for a condition and returns the elapsed seconds."""
        started_s = time.monotonic()
        while time.monotonic() - started_s < limit_s:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                if condition():
                    return time.monotonic() - started_s
            time.sleep(0.02)
        raise TimeoutError(f"condition not met within {limit_s} s")

    def versions(self) -> dict[str, int]:
        """Returns the version in force at each running node."""
        return {
            name: json.loads(self.get_admin(host, "/status").content)["version"]
            for name, host in self.hosts.items()
            if host.node is not None and host.node.poll() is None
        }

    def get_admin(self, host: Host, path: str) -> httpcore.Response:
        """Sends a GET request to a node's admin address."""
        return self._http.request("GET", f"http://{host.admin_address}{path}")

    def request(
        self,
        host: Host,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        internal: bool = False,
    ) -> httpcore.Response:
        """Sends a request to a node's public or internal address."""
        address = host.internal_address if internal else host.public_address
        return self._http.request(
            method, f"http://{address}{path}", headers=list((headers or {}).items())
        )

    def download(self, host: Host, path: str) -> int:
        """Streams a large answer and returns its length in bytes."""
        with self._http.stream("GET", f"http://{host.public_address}{path}") as answer:
            return sum(len(part) for part in answer.iter_stream())

    def count_runs(self) -> dict[str, int]:
        """Returns the number of runs per key, over all running backend servers."""
        total: dict[str, int] = {}
        for host in self.hosts.values():
            if host.worker is None or host.worker.poll() is not None:
                continue
            answer = self._http.request("GET", f"http://{host.worker_address}/_runs")
            for key, count in json.loads(answer.content)["runs"].items():
                total[key] = total.get(key, 0) + count
        return total

    def memory_bytes(self, host: Host) -> int:
        """Returns the resident memory of a node's process."""
        text = pathlib.Path(f"/proc/{host.node.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) * 1_024

    def stop(self) -> dict[str, int]:
        """Stops all processes and returns the nodes' exit codes."""
        nodes = {n: h.node for n, h in self.hosts.items() if h.node is not None}
        for process in nodes.values():
            process.terminate()
        codes = {name: process.wait(timeout=30) for name, process in nodes.items()}
        others = [self.platform, *(host.worker for host in self.hosts.values())]
        for process in others:
            if process is not None:
                process.kill()
                process.wait()
        return codes

    def _spawn(
        self, name: str, command: t.Sequence[str | pathlib.Path]
    ) -> subprocess.Popen[bytes]:
        with (self._work / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ,
            )

    def _write_hosts(self) -> None:
        directory = self._published / "hosts"
        directory.mkdir(parents=True, exist_ok=True)
        domains: dict[str, list[dict[str, str]]] = {}
        for host in self.hosts.values():
            spec = host.spec
            record = {
                "name": spec.name,
                "address": host.node_address,
                "domain": spec.domain,
                "region": spec.region,
                "service": spec.service,
            }
            domains.setdefault(spec.domain, []).append(record)
        for domain, records in domains.items():
            path = directory / f"{domain}.json"
            path.write_text(json.dumps(records), encoding="utf-8")

    def _settings(self, host: Host) -> dict[str, t.Any]:
        spec = host.spec
        return {
            "host": spec.name,
            "domain": spec.domain,
            "region": spec.region,
            "service": spec.service,
            "node_listen": host.node_address,
            "public_listen": host.public_address,
            "internal_listen": host.internal_address,
            "admin_listen": host.admin_address,
            "worker": {"address": host.worker_address},
            "platform": {
                "address": self.platform_address,
                "watch_wait_ms": 5000,
                "fleet_size_hint": len(self.hosts),
                "domain_count_hint": len({h.spec.domain for h in self.hosts.values()}),
            },
            **self._node_settings,
        }
