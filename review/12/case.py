"""A request with a long body ends the connection between two nodes."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from mesh import Answer  # noqa: E402
from mesh import Mesh  # noqa: E402
from mesh import now_s  # noqa: E402
from mesh import Requester  # noqa: E402
from mesh import run  # noqa: E402
from mesh import TROUBLE  # noqa: E402

# `body_bytes` of the configuration is 67,108,864.
BODY_BYTES = 10_000_000 if TROUBLE else 1_000_000
BUNDLE = "/bundles/ms/50/bytes/12000000"
BUDGET_MS = 1_500
CONFIG_APPLY_S = 2.0
REQUESTERS = 3


async def case(mesh: Mesh) -> bool:
    """Returns whether the rule held."""
    entry = await mesh.add("order-desk", "th-central-a")
    remote = await mesh.add("workshop-files", "th-central-b")
    mesh.route("/bundles/", "download", "workshop-files", timeout_ms=BUDGET_MS)
    mesh.route("/orders/", "non_idempotent", "workshop-files", timeout_ms=2_500)
    await mesh.start()
    requesters = [
        Requester(mesh.record, entry, f"requester {n}") for n in range(REQUESTERS)
    ]
    for requester in requesters:
        await requester.ask("GET", "/bundles/ms/10/bytes/1000", budget_ms=BUDGET_MS)
    kept_calls: list[tuple[str, bool, Answer]] = []

    async def download(requester: Requester, ends_s: float) -> None:
        while now_s() < ends_s:
            was_kept = requester.used > 0
            request_id, answer = await requester.ask("GET", BUNDLE, b"", BUDGET_MS)
            kept_calls.append((request_id, was_kept, answer))
            await asyncio.sleep(0.02)

    async def order(ends_s: float) -> int:
        requester = Requester(mesh.record, entry, "requester of orders")
        served = asked = 0
        while now_s() < ends_s:
            _, answer = await requester.ask(
                "POST", "/orders/large", b"o" * BODY_BYTES, 2_500
            )
            asked += 1
            served += answer.status == 200
            await asyncio.sleep(0.4)
        mesh.record.line(f"{served} of {asked} long requests served")
        return served

    hup_s = now_s()
    entry.signal(signal.SIGHUP)
    mesh.record.line(f"platform: SIGHUP to node {entry.ip}; its settings are the same")
    ends_s = hup_s + CONFIG_APPLY_S
    await asyncio.gather(order(ends_s), *(download(r, ends_s) for r in requesters))
    ran = set(remote.worker.finished)
    cut = [
        answer
        for request_id, _, answer in kept_calls
        if request_id in ran
        and hup_s < answer.sent_s < hup_s + CONFIG_APPLY_S
        and not answer.complete
        # The time budget, which is the route's timeout too, isn't reached.
        and answer.ended_s - answer.sent_s < 0.9 * BUDGET_MS / 1_000
    ]
    served = sum(
        answer.complete and answer.status == 200 for _, _, answer in kept_calls
    )
    kept = sum(was_kept for _, was_kept, answer in kept_calls if answer in cut)
    mesh.record.line(
        f"{len(kept_calls)} downloads, {served} served; {len(cut)} of them, which the "
        f"sound worker had run to the end, ended without a complete answer, {kept} of "
        "these on kept connections"
    )
    return not cut


run(case, str(FOLDER))
