"""The sockets to which callers connect, bound before the rest of the node is loaded."""

import dataclasses
import errno
import os
import socket

from cactushook import CactushookError
from cactushook import ErrorKind

from .settings import LISTEN_FIELDS
from .settings import Settings

PUBLIC_FIELD = "public_listen"
INTERNAL_FIELD = "internal_listen"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSockets:
    """The listening sockets for callers.

    Attributes:
        public: for callers from outside.
        internal: for the users' own services.
    """

    public: socket.socket
    internal: socket.socket

    def close(self) -> None:
        """Closes both sockets."""
        self.public.close()
        self.internal.close()


def bind_caller_sockets(settings: Settings) -> CallerSockets:
    """Starts to listen for callers, whose connections wait until they are accepted.

    Raises:
        CactushookError: ``ADDRESS_IN_USE``, with the field that holds the address.
    """
    public = _listen(settings, PUBLIC_FIELD)
    try:
        internal = _listen(settings, INTERNAL_FIELD)
    except CactushookError:
        public.close()
        raise
    return CallerSockets(public, internal)


def check_other_addresses_free(settings: Settings) -> None:
    """Listens at each of the node's other addresses for a moment.

    Raises:
        CactushookError: ``ADDRESS_IN_USE``, with the field that holds the address.
    """
    for field in LISTEN_FIELDS:
        if field not in (PUBLIC_FIELD, INTERNAL_FIELD):
            _listen(settings, field).close()


def _listen(settings: Settings, field: str) -> socket.socket:
    ip, _, port = getattr(settings, field).rpartition(":")
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(socket.SOMAXCONN)
    except OSError as error:
        listener.close()
        reason = os.strerror(error.errno or errno.EINVAL)
        raise CactushookError(
            ErrorKind.ADDRESS_IN_USE, f"{field} {ip}:{port}: {reason}"
        ) from error
    return listener
