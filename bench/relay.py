"""Forwards TCP bytes unread, to measure the minimal cost of a process on the path.

Run: ``python -m bench.relay LISTEN_IP:PORT TO_IP:PORT``.
"""

import sys

import trio

RECEIVE_BYTES = 65_536


async def _forward(source: trio.SocketStream, target: trio.SocketStream) -> None:
    while data := await source.receive_some(RECEIVE_BYTES):
        await target.send_all(data)


async def _main(listen: str, target_address: str) -> None:
    target_ip, _, target_port = target_address.rpartition(":")

    async def serve(caller: trio.SocketStream) -> None:
        server = await trio.open_tcp_stream(target_ip, int(target_port))
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(_forward, caller, server)
            await _forward(server, caller)

    ip, _, port = listen.rpartition(":")
    await trio.serve_tcp(serve, int(port), host=ip)


if __name__ == "__main__":
    trio.run(_main, *sys.argv[1:3])
