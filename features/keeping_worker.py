"""A backend server that keeps the headers of the requests that it gets."""

import h11
import trio

from features import edge_fixtures


class KeepingWorker:
    """Answers with 200 and the request's id; health checks are not kept."""

    def __init__(self, id_header):
        self.requests = []
        self._id_header = id_header

    async def serve(self, stream):
        """Serves one connection."""
        http = h11.Connection(h11.SERVER)
        while (event := http.next_event()) is not h11.PAUSED:
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive_some(edge_fixtures.PART_BYTES)
                except trio.BrokenResourceError:
                    return
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                headers = dict(event.headers)
                if event.target != b"/healthz":
                    self.requests.append(headers)
            elif isinstance(event, h11.EndOfMessage):
                echoed = (self._id_header, headers.get(self._id_header, b"x"))
                head = h11.Response(
                    status_code=200, headers=[("content-length", "0"), echoed]
                )
                await stream.send_all(http.send(head) + http.send(h11.EndOfMessage()))
                http.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return
