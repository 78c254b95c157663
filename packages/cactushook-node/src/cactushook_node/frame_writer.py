"""Writes the frames of a connection between nodes without blocking their senders."""

import typing as t

import trio

WRITE_BYTES = 65_536


class FrameWriter:
    """Queues frames, which one task writes to a connection in order.

    Args:
        stream: the connection.
        on_written: called each time that the connection has accepted bytes.

    Attributes:
        unsent_bytes: number of bytes that are queued or being written.
    """

    def __init__(
        self, stream: trio.abc.SendStream, on_written: t.Callable[[], None]
    ) -> None:
        self.unsent_bytes = 0
        self._stream = stream
        self._on_written = on_written
        self._queue = bytearray()
        self._is_closed = False
        self._frames_ready = trio.lowlevel.ParkingLot()
        self._space_freed = trio.lowlevel.ParkingLot()

    @property
    def queued_bytes(self) -> int:
        """Number of bytes whose writing has not begun."""
        return len(self._queue)

    async def wait_for_space(self, limit_bytes: int) -> None:
        """Waits until at most this many bytes are queued or the writer is closed."""
        while len(self._queue) > limit_bytes and not self._is_closed:
            await self._space_freed.park()

    def queue(self, frame: bytes) -> None:
        """Queues a frame."""
        self._queue += frame
        self.unsent_bytes += len(frame)
        self._frames_ready.unpark()

    def close(self) -> None:
        """Ends the sending direction of the connection after the queued frames."""
        self._is_closed = True
        self._frames_ready.unpark()
        self._space_freed.unpark_all()

    async def run(self) -> None:
        """Writes until the writer is closed."""
        while self._queue or not self._is_closed:
            if not self._queue:
                await self._frames_ready.park()
                continue
            data, self._queue = self._queue, bytearray()
            self._space_freed.unpark_all()
            await self._write(memoryview(data))
        if isinstance(self._stream, trio.abc.HalfCloseableStream):
            await self._stream.send_eof()

    async def _write(self, data: memoryview) -> None:
        for start in range(0, len(data), WRITE_BYTES):
            part = data[start : start + WRITE_BYTES]
            await self._stream.send_all(part)
            self.unsent_bytes -= len(part)
            self._on_written()
