"""A SIGHUP while a node starts ends the process."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from mesh import Mesh  # noqa: E402
from mesh import Node  # noqa: E402
from mesh import run  # noqa: E402
from mesh import TROUBLE  # noqa: E402

STARTS = 3
AFTER_S = 0.05
ENDS_ALLOWED = 2
MACHINES_ALLOWED = 1


async def start(mesh: Mesh, node: Node) -> bool:
    """Starts a node as the platform does; returns whether it ended by itself."""
    await node.start()
    mesh.record.line(f"platform: starts node {node.ip}")
    await asyncio.sleep(AFTER_S)
    if TROUBLE:
        node.signal(signal.SIGHUP)
        mesh.record.line(f"platform: SIGHUP to node {node.ip}")
    try:
        async with asyncio.timeout(5):
            status = await node.process.wait()
    except TimeoutError:
        return False
    mesh.record.line(f"node {node.ip} ended by itself with status {status}")
    return True


async def case(mesh: Mesh) -> bool:
    """Returns whether the rule held."""
    nodes = [
        await mesh.add("order-desk", "th-central-a"),
        await mesh.add("workshop-files", "th-central-b"),
    ]
    mesh.route("/orders/", "non_idempotent", "order-desk")
    await mesh.start()
    ends = {node.ip: 0 for node in nodes}
    for _ in range(STARTS):
        for node in nodes:
            if node.process.returncode is None:
                node.signal(signal.SIGTERM)
                await node.process.wait()
            ends[node.ip] += await start(mesh, node)
    for ip, count in ends.items():
        mesh.record.line(f"node {ip} ended by itself {count} times of {STARTS} starts")
    broken = [ip for ip, count in ends.items() if count > ENDS_ALLOWED]
    return len(broken) <= MACHINES_ALLOWED


run(case, str(FOLDER))
