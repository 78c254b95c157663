"""Steps on a backend server that sends bytes without end, with real nodes."""

import concurrent.futures
import contextlib
import pathlib
import shutil
import socket
import tempfile
import threading
import time

from behave import given
from behave import then
from behave import when

from standins.fleet import copy_configuration
from standins.fleet import HostSpec
from standins.fleet import LocalFleet

EXAMPLE = pathlib.Path("examples/kalnins")
TEAM_FILE = "reports/reports.cactushook.jsonc"
ENTRY, GATE = "entry", "gate"
FILLER = 65_536 * b"a"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nok"
# Start and repeated part.
ENDLESS = {
    "bytes that are no answer": (b"", bytes(range(128, 256)) * 512),
    "a header": (OK + b"X-A: ", FILLER),
    "informational answers": (b"", 3_000 * b"HTTP/1.1 102 Wait\r\n\r\n"),
    "a body with a length": (OK + b"Content-Length: 999999999999\r\n\r\n", FILLER),
    "a body in chunks": (CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
    "a body without a length": (OK + b"\r\n", FILLER),
    "bytes behind an answer": (WHOLE, FILLER),
}
CONFIG_CHANGES = {
    '"timeout_ms": 2000': '"timeout_ms": 10000',
    '"connections": 130': '"connections": 130, "ramp_ms": 1',
}
READ_BYTES = 65_536
READ_LIMIT_S = 5.0


class EndlessBackend:
    """A backend server that answers each request with bytes without end."""

    def __init__(self, address, start, part):
        ip, _, port = address.rpartition(":")
        self._start = start
        self._part = part
        self._listener = socket.create_server((ip, int(port)), backlog=100)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        # Without a shutdown the thread would go on accepting.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            data = b""
            while b"\r\n\r\n" not in data:
                part = connection.recv(READ_BYTES)
                if not part:
                    return
                data += part
            connection.sendall(self._start)
            while True:
                connection.sendall(self._part)


@given("a node whose backend server answers with {kind}, and one that calls it")
def fleet(context, kind):
    name = tempfile.mkdtemp(prefix="cactushook-endless-")
    context.resources.callback(shutil.rmtree, name, ignore_errors=True)
    config = pathlib.Path(name) / "config"
    copy_configuration(EXAMPLE, config, TEAM_FILE, CONFIG_CHANGES)
    specs = [
        HostSpec(ENTRY, "cesis", "vidzeme", "archive"),
        HostSpec(GATE, "valmiera", "vidzeme", "reports"),
    ]
    context.fleet = LocalFleet(config, pathlib.Path(name), specs)
    context.fleet.prepare()
    context.fleet.start_platform()
    context.codes = None
    context.resources.callback(stop, context)
    entry, gate = context.fleet.hosts.values()
    backend = EndlessBackend(gate.worker_address, *ENDLESS[kind])
    context.resources.callback(backend.close)
    context.fleet.start_worker(entry)
    for host in (entry, gate):
        context.fleet.start_node(host)
    for host in (entry, gate):
        context.fleet.wait_until_ready(host)
    # The route to the other service is known once both nodes know both hosts.
    context.fleet.wait_until(lambda: request_other(context) == 200)


def stop(context):
    if context.codes is None:
        context.codes = context.fleet.stop()
    return context.codes


def request_other(context):
    """Sends a request for the other node's backend server; returns the status."""
    gate = context.fleet.hosts[GATE]
    return context.fleet.request(gate, "GET", "/photo-bundles/1").status


def call_endlessly(address, number, reads, until_s):
    """Requests an endless answer, and reads it until a time or not at all."""
    ip, _, port = address.rpartition(":")
    with (
        contextlib.suppress(OSError),
        socket.create_connection((ip, int(port)), READ_LIMIT_S) as connection,
    ):
        # Each path is another request, so that none is held to crash the worker.
        head = f"GET /reports/{number} HTTP/1.1\r\nHost: x\r\n\r\n"
        connection.sendall(head.encode())
        while reads and time.monotonic() < until_s:
            if not connection.recv(READ_BYTES):
                return
        time.sleep(max(0.0, until_s - time.monotonic()))


@when(
    "{count:d} callers send it requests for {length_s:d} s, of which {idle:d} read "
    "nothing, beside others"
)
def callers_send(context, count, length_s, idle):
    address = context.fleet.hosts[ENTRY].public_address
    until_s = time.monotonic() + length_s
    context.peaks, context.statuses = [], []
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        calls = [
            pool.submit(call_endlessly, address, number, number >= idle, until_s)
            for number in range(count)
        ]
        while time.monotonic() < until_s:
            hosts = context.fleet.hosts.values()
            context.peaks += [context.fleet.memory_bytes(host) for host in hosts]
            context.statuses.append(request_other(context))
        for call in calls:
            call.result()


@then("no node has taken more than {limit_mb:d} MB of memory")
def memory_bounded(context, limit_mb):
    assert max(context.peaks) <= limit_mb * 1_000_000, max(context.peaks)


@then("all other requests are answered")
def others_answered(context):
    assert context.statuses and set(context.statuses) == {200}, context.statuses


@then("the nodes end by a planned stop only")
def nodes_end(context):
    assert set(stop(context).values()) == {0}, context.codes
