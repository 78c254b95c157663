"""Answers pulls of other nodes within rate limits."""

import collections
import itertools

from .membership import Membership
from .messages import Busy
from .messages import Change
from .messages import ControlMessage
from .messages import HostUpdate
from .messages import Pull
from .patches import changed_leaves
from .publication import Publication
from .tokens import TokenBucket
from .versions import VersionStore

KEPT_VERSIONS = 256
CHANGES_PER_S = 20
CHANGES_BURST = 40
SNAPSHOTS_PER_S = 1
SNAPSHOTS_BURST = 4


class Transfers:
    """Provides peers that are behind with versions and host lists.

    Args:
        membership: the host records that the node knows.
        store: the configuration in force.
        now_ms: the start time.
    """

    def __init__(
        self, membership: Membership, store: VersionStore, now_ms: float
    ) -> None:
        self._membership = membership
        self._store = store
        self._changes = TokenBucket(CHANGES_PER_S, CHANGES_BURST, now_ms)
        self._snapshots = TokenBucket(SNAPSHOTS_PER_S, SNAPSHOTS_BURST, now_ms)
        self._added_digests: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def on_version_applied(self, before: Publication, after: Publication) -> Change:
        """Records a version put into force and returns the change to pass on."""
        added = tuple(sorted(after.values.keys() - before.values.keys()))
        self._added_digests.pop(after.head.root, None)
        self._added_digests[after.head.root] = added if before.head.root else ()
        while len(self._added_digests) > KEPT_VERSIONS:
            self._added_digests.popitem(last=False)
        leaves = changed_leaves(before, after)
        if leaves is not None:
            return Change(after.head, leaves, before.head.root)
        return Change(after.head, tuple(after.values[name] for name in added))

    def answer_pull(
        self, pull: Pull, now_ms: float, try_address: str
    ) -> list[ControlMessage]:
        """Returns the answers to a pull.

        Args:
            pull: the pull.
            now_ms: the time.
            try_address: address of another node that may be able to answer.
        """
        publication = self._store.publication
        if not pull.hosts and not publication.head.root:
            return []
        delta = None if pull.hosts else self._values_since(pull.have_root, publication)
        bucket = self._snapshots if delta is None else self._changes
        if not bucket.take(now_ms):
            return [Busy(int(bucket.wait_ms(now_ms)) + 1, try_address)]
        if pull.hosts:
            return self._host_list()
        values = publication.values.values() if delta is None else delta
        return [Change(publication.head, tuple(values))]

    def _values_since(
        self, have_root: str, publication: Publication
    ) -> tuple[bytes, ...] | None:
        if have_root not in self._added_digests:
            return None
        later = itertools.dropwhile(lambda root: root != have_root, self._added_digests)
        newer = itertools.islice(later, 1, None)
        names = [name for root in newer for name in self._added_digests[root]]
        kept = dict.fromkeys(name for name in names if name in publication.values)
        return tuple(publication.values[name] for name in kept)

    def _host_list(self) -> list[ControlMessage]:
        views = (self._membership.view(name) for name in self._membership.domains)
        return [HostUpdate(tuple(view.records.values())) for view in views]
