"""Gives each process of a test run a range of ports that no other run uses."""

import contextlib
import itertools
import socket
import typing as t

_claim_numbers = itertools.count()


@contextlib.contextmanager
def claim(first_ports: t.Sequence[int]) -> t.Iterator[int]:
    """Claims one of several ranges while the block runs and yields its first port.

    The claim is a socket bound to the first port, which other runs on the machine
    cannot bind at the same time.

    Raises:
        OSError: all ranges are claimed.
    """
    with socket.socket() as holder:
        yield _bind_first_free(holder, first_ports)


def _bind_first_free(holder: socket.socket, first_ports: t.Sequence[int]) -> int:
    for _ in first_ports:
        port = first_ports[next(_claim_numbers) % len(first_ports)]
        try:
            holder.bind(("127.0.0.1", port))
        except OSError:
            # Another process holds this range.
            continue
        return port
    raise OSError("all ranges of ports are claimed")
