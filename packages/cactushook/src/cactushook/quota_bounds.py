"""Arithmetic of the bound on a workspace's requests over the whole fleet.

In any window, at most ``(rate x window + burst) x (1 + overage) + slack`` requests of a
workspace may run. The home's grants and the fallback shares of all entries are sized so
that their sum stays within it; `docs/design/quotas.md` has the derivation.
"""

import dataclasses
import math
import typing as t

from . import hashing
from .workspaces import Workspace

# How long an entry may use leased tokens, from when it sent its request for them.
LEASE_MS = 400.0
# How long the home counts them as outstanding, from when it granted them. In the
# difference an entry returns the tokens of an expired lease.
HELD_MS = 600.0
# Shares of what the bound leaves above the home's grants: for entries that reach no
# home, and for tokens that come back after their lease. The rest is a margin, because
# nodes differ in their views of the fleet.
FALLBACK_SHARE = 0.6
LATE_SHARE = 0.2
# A home grants whole tokens, so its bucket holds this many even without a burst.
MIN_BURST = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The bound's parameters, which are the same for all workspaces.

    Attributes:
        window_ms: length of the window.
        overage: share by which the window's quota may be exceeded.
        slack: requests that may run in addition.
    """

    window_ms: float = 5_000.0
    overage: float = 0.25
    slack: float = 20.0

    def limit(self, workspace: Workspace) -> float:
        """Returns the number of requests that may run in any window."""
        return self._quota(workspace) * (1 + self.overage) + self.slack

    def capacity(self, workspace: Workspace) -> float:
        """Returns the maximum number of tokens in a home's bucket and its leases.

        A home of a workspace that runs at its rate has the tokens of ``HELD_MS`` on
        lease at any time; beside them, the bucket holds the burst. The capacity never
        exceeds what the bound leaves above the steady rate.
        """
        wanted = max(workspace.burst, MIN_BURST)
        wanted += workspace.rate_per_s * HELD_MS / 1_000
        steady = workspace.rate_per_s * self.window_ms / 1_000
        return min(wanted, self.limit(workspace) - steady)

    def fallback_tokens(self, workspace: Workspace) -> int:
        """Returns the tokens per window of all entries that reach no home together."""
        return math.floor(self._left(workspace) * FALLBACK_SHARE)

    def late_tokens(self, workspace: Workspace) -> float:
        """Returns the tokens per window that may come back after their lease."""
        return self._left(workspace) * LATE_SHARE

    def _left(self, workspace: Workspace) -> float:
        steady = workspace.rate_per_s * self.window_ms / 1_000
        return max(0.0, self.limit(workspace) - steady - self.capacity(workspace))

    def _quota(self, workspace: Workspace) -> float:
        return workspace.rate_per_s * self.window_ms / 1_000 + workspace.burst


def fallback_share(
    total: int, workspace: str, host: str, hosts: t.Collection[str]
) -> int:
    """Returns one entry's part of the fallback tokens.

    Tokens are whole: if there are fewer than hosts, those that rank highest for the
    workspace get one each. A host that the list lacks gets none.

    Args:
        total: tokens of all entries together.
        workspace: name of the workspace.
        host: name of the entry's host.
        hosts: names of all hosts that may use a share.
    """
    if host not in hosts:
        return 0
    each, remainder = divmod(total, len(hosts))
    if not remainder:
        return each
    key = f"quota-fallback/{workspace}"
    own_weight = hashing.weight(key, host)
    rank = sum(hashing.weight(key, other) > own_weight for other in hosts)
    return each + (rank < remainder)


__all__ = ["HELD_MS", "LEASE_MS", "QuotaBounds", "fallback_share"]
