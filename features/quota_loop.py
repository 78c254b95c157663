"""A loop over entries and homes of quotas, in ticks and without a network."""

import bisect
import collections
import heapq
import itertools
import math
import random

from cactushook.hashing import top
from cactushook.quota_bounds import fallback_share
from cactushook.quota_bounds import QuotaBounds
from cactushook.quota_home import HOLD_MS
from cactushook.quota_home import QuotaHome
from cactushook.quota_lease import Admitted
from cactushook.quota_lease import EntryQuotas
from cactushook.quota_lease import Waiting
from cactushook.quota_messages import LeaseRequest
from cactushook.tokens import TokenBucket
from cactushook.workspaces import Workspace
from cactushook_node import quota_wire
from cactushook_node import wire

TICK_MS = 10.0
CHECK_TICKS = 5
DELAY_MS = 10.0
START_MS = -10_000.0


class QuotaLoop:
    """Entries and homes; a message takes one tick."""

    def __init__(self, entries, workspaces):
        self.rng = random.Random(7)
        self.bounds = QuotaBounds()
        self.workspaces = {w.name: w for w in workspaces}
        self.names = [f"h{index}" for index in range(entries)]
        self.now_ms = 0.0
        self.incarnations = itertools.count(1)
        self.entries = {n: self.new_entry(n, START_MS) for n in self.names}
        self.homes = {n: QuotaHome(self.bounds) for n in self.names}
        self.side = dict.fromkeys(self.names, 0)
        self.home_of = {w: top(f"quota/{w}", self.names) for w in self.workspaces}
        self.home_by_side = {}
        self.share = {}
        self.skew_ms = collections.Counter()
        self.loss = self.duplication = 0.0
        self.unrun_share = 0.0
        self.queue = []
        self.order = itertools.count()
        self.waiting = collections.defaultdict(list)
        self.offered = collections.defaultdict(list)
        self.served = collections.defaultdict(list)
        self.messages = 0
        self.bytes = collections.Counter()
        self.claim = {}
        for workspace, home in self.home_of.items():
            self.start_home(home, workspace, -HOLD_MS)

    def new_entry(self, name, started_ms):
        return EntryQuotas(name, next(self.incarnations), self.bounds, started_ms)

    def start_home(self, name, workspace, now_ms):
        others = [w for w, home in self.home_of.items() if home == name]
        self.homes[name].update({*others, workspace}, now_ms)

    def home(self, entry, workspace):
        found = self.home_by_side.get(self.side[entry])
        return found or self.home_of[workspace]

    def clock(self, host):
        return self.now_ms + self.skew_ms[host]

    def at(self, due_ms, action, *arguments):
        heapq.heappush(self.queue, (due_ms, next(self.order), action, arguments))

    def arrive(self, entry, workspace):
        self.offered[workspace].append(self.now_ms)
        verdict = self.entries[entry].acquire(
            self.workspaces[workspace],
            self.home(entry, workspace),
            lambda: self.fallback(entry, workspace),
            self.clock(entry),
        )
        self.settle(entry, workspace, verdict)
        self.ask(entry)

    def fallback(self, entry, workspace):
        total = self.bounds.fallback_tokens(self.workspaces[workspace])
        return fallback_share(total, workspace, entry, self.names)

    def settle(self, entry, workspace, verdict):
        match verdict:
            case Waiting(until_ms):
                self.waiting[entry].append((workspace, until_ms))
            case Admitted(token) if self.rng.random() < self.unrun_share:
                process = self.entries[entry]
                self.at(self.now_ms + 100, self.release, process, workspace, token)
            case Admitted():
                self.served[workspace].append(self.now_ms)

    def release(self, process, workspace, token):
        process.release(workspace, token, self.now_ms)

    def ask(self, entry):
        process = self.entries[entry]
        for home in list(process.homes):
            request = process.next_request(home, self.clock(entry))
            if request is not None:
                self.send(entry, home, self.answer, self.inflate(entry, request))

    def inflate(self, entry, request):
        return self.claim[entry](request) if entry in self.claim else request

    def send(self, sender, receiver, action, message):
        if sender == receiver:
            self.at(self.now_ms, action, sender, receiver, message)
            return
        size_bytes = len(encode(message))
        self.bytes[sender] += size_bytes
        self.bytes[receiver] += size_bytes
        self.messages += 1
        if self.side[sender] != self.side[receiver] or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            self.at(self.now_ms + DELAY_MS, action, sender, receiver, message)

    def answer(self, sender, receiver, request):
        share = self.share.get(receiver, 1.0)
        found = self.homes[receiver].answer(
            request, self.workspaces, share, self.clock(receiver)
        )
        if found is not None:
            self.send(receiver, sender, self.apply, found)

    def apply(self, sender, receiver, answer):
        self.entries[receiver].apply(sender, answer, self.clock(receiver))
        self.wake(receiver)

    def wake(self, entry):
        process = self.entries[entry]
        waiting, self.waiting[entry] = self.waiting[entry], []
        for workspace, until_ms in waiting:
            verdict = process.acquire_waiting(
                workspace,
                lambda name=workspace: self.fallback(entry, name),
                until_ms,
                self.clock(entry),
            )
            self.settle(entry, workspace, verdict)

    def restart(self, entry):
        self.waiting[entry] = []
        self.entries[entry] = self.new_entry(entry, self.now_ms)
        self.homes[entry] = QuotaHome(self.bounds)
        for workspace, home in self.home_of.items():
            if home == entry:
                self.start_home(entry, workspace, self.now_ms)

    def run(self, until_ms, demand):
        """Runs to a time; ``demand`` has rates, workspaces and choices of entries."""
        for tick in itertools.count(round(self.now_ms / TICK_MS)):
            self.now_ms = tick * TICK_MS
            if self.now_ms >= until_ms:
                return
            while self.queue and self.queue[0][0] <= self.now_ms:
                _, _, action, arguments = heapq.heappop(self.queue)
                action(*arguments)
            for rate_per_s, workspace, choose in demand:
                for _ in range(self.poisson(rate_per_s * TICK_MS / 1_000)):
                    self.arrive(choose(), workspace)
            if tick % CHECK_TICKS == 0:
                for entry in self.names:
                    if self.waiting[entry]:
                        self.wake(entry)
                    self.ask(entry)

    def poisson(self, mean):
        limit, product, count = math.exp(-mean), self.rng.random(), 0
        while product > limit:
            product *= self.rng.random()
            count += 1
        return count

    def bytes_per_s(self):
        """Returns bytes a second in and out, at the mean node and at the busiest."""
        seconds = self.now_ms / 1_000
        total = sum(self.bytes.values())
        return total / len(self.names) / seconds, max(self.bytes.values()) / seconds

    def most_in_window(self, workspace, since_ms=-math.inf):
        served = [at_ms for at_ms in self.served[workspace] if at_ms >= since_ms]
        window_ms = self.bounds.window_ms
        return max(
            (
                bisect.bisect_left(served, at_ms + window_ms) - index
                for index, at_ms in enumerate(served)
            ),
            default=0,
        )

    def served_share(self, workspace, since_ms):
        """Returns served / allowed, from a time to the end.

        Allowed is what one bucket of the quota's rate and burst admits of all requests.
        """
        quota = self.workspaces[workspace]
        burst = max(1.0, quota.burst)
        bucket = TokenBucket(quota.rate_per_s, burst, 0.0)
        admitted = [at_ms for at_ms in self.offered[workspace] if bucket.take(at_ms)]
        allowed = sum(at_ms >= since_ms for at_ms in admitted)
        served = sum(at_ms >= since_ms for at_ms in self.served[workspace])
        return served / allowed


def encode(message):
    """Returns the frame that nodes send for a message."""
    if isinstance(message, LeaseRequest):
        return wire.encode(quota_wire.request_to_message(message))
    return wire.encode(quota_wire.grant_to_message(message))


def workspace(name, rate_per_s, burst):
    return Workspace(name, rate_per_s=rate_per_s, burst=burst)
