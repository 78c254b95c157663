"""Fetches JSON from a node's admin address."""

import time
import typing as t

import httpcore
import msgspec
from cactushook import ErrorKind
from cactushook import SourceError
from cactushook.outlines import OutlineEntry
from cactushook.reports import ConfigurationPage

CALL_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 8_000_000
MAX_CONFIGURATION_FETCHES = 3
MAX_START = 1_000_000


T = t.TypeVar("T")


def fetch_json(node: str, target: bytes, kind: type[T]) -> T:
    """Fetches a target from a node and decodes the JSON answer.

    Raises:
        SourceError: the node does not answer, or its answer is not valid.
    """
    raw = _fetch(node, target)
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SourceError(
            ErrorKind.PEER_UNREACHABLE, f"{node} sent an invalid answer: {error}"
        ) from error


def fetch_configuration(node: str) -> ConfigurationPage:
    """Fetches the configuration in force at a node as one page.

    A configuration that changes while its pages are fetched is fetched again.

    Raises:
        SourceError: the node does not answer, its answer is not valid, it has no
            configuration, or its configuration changes all the time.
    """
    for _ in range(MAX_CONFIGURATION_FETCHES):
        found = _fetch_pages(node)
        if found is not None:
            return found
    raise SourceError(
        ErrorKind.PEER_UNREACHABLE,
        f"{node} changed its configuration while it was read",
    )


def _fetch_pages(node: str) -> ConfigurationPage | None:
    """Returns all pages as one, or None if the configuration changed meanwhile."""
    first: ConfigurationPage | None = None
    entries: list[OutlineEntry] = []
    start: int | None = 0
    while start is not None:
        target = f"/configuration?start={start}".encode()
        page = fetch_json(node, target, ConfigurationPage)
        first = first or page
        if page.version == 0:
            reason = f"{node} has no configuration yet"
            raise SourceError(ErrorKind.NOT_READY, reason)
        if (page.version, page.digest) != (first.version, first.digest):
            return None
        entries += page.entries
        if page.next_start is not None and not start < page.next_start < MAX_START:
            reason = f"{node} sent an invalid answer: next_start {page.next_start}"
            raise SourceError(ErrorKind.PEER_UNREACHABLE, reason)
        start = page.next_start
    return msgspec.structs.replace(first, entries=tuple(entries), next_start=None)


def _fetch(node: str, target: bytes) -> bytes:
    host, _, port = node.rpartition(":")
    url = httpcore.URL(scheme=b"http", host=host, port=int(port), target=target)
    parts = ("connect", "read", "write", "pool")
    timeout = dict.fromkeys(parts, CALL_TIMEOUT_S)
    try:
        extensions = {"timeout": timeout, "trace": _raise_write_error}
        with httpcore.stream("GET", url, extensions=extensions) as response:
            body = _read_body(node, response)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        OSError,
    ) as error:
        reason = str(error) or type(error).__name__
        raise SourceError(
            ErrorKind.PEER_UNREACHABLE, f"{node} does not answer: {reason}"
        ) from error
    if response.status != 200:
        raise SourceError(
            ErrorKind.PEER_UNREACHABLE, f"{node} answered with status {response.status}"
        )
    return body


def _raise_write_error(event: str, info: dict[str, t.Any]) -> None:
    """Ends a call whose request could not be sent.

    httpcore drops this error and reads the answer. If the error was that of a reset,
    reading then ends as after an orderly close, and a part of an answer looks whole.
    """
    if event.startswith("http11.send_request_") and event.endswith(".failed"):
        error = info["exception"]
        if isinstance(error, httpcore.WriteError):
            raise httpcore.RemoteProtocolError(f"reset: {error}") from error


def _read_body(node: str, response: httpcore.Response) -> bytes:
    deadline_s = time.monotonic() + CALL_TIMEOUT_S
    body = bytearray()
    for part in response.iter_stream():
        body += part
        if len(body) > MAX_ANSWER_BYTES or time.monotonic() > deadline_s:
            raise SourceError(
                ErrorKind.PEER_UNREACHABLE,
                f"{node} sent an answer that is too long or too slow",
            )
    return bytes(body)
