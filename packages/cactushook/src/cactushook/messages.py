"""Control messages between nodes, and actions that the distribution code requests."""

import dataclasses
import typing as t

from .exceptions import CactushookError
from .nodes import HostRecord
from .publication import Head
from .snapshot import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction of a connection.

    Attributes:
        host: the sender's own record.
        head: version in force at the sender.
        floor_version: highest version that the receiver announced to the sender.
    """

    host: HostRecord
    head: Head
    floor_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAnnouncement:
    """Version in force at the sender and the digest of its host list.

    Attributes:
        head: version in force at the sender.
        hosts_digest: digest of the sender's host list.
        floor_version: highest version that the receiver announced to the sender.
        answer: set in answers and in announcements that need no answer; receivers
            answer all other announcements.
    """

    head: Head
    hosts_digest: int
    floor_version: int = 0
    answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Requests the values missing since ``have_root``, or the host list."""

    have_root: str
    hosts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Values of a version that the receiver may lack.

    Attributes:
        head: the version.
        values: the values, or only those from which the others can be rebuilt.
        base_root: root of the version to rebuild from; empty if none is needed.
    """

    head: Head
    values: tuple[bytes, ...]
    base_root: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HostUpdate:
    """Host records that may be new to the receiver.

    Attributes:
        hosts: the records.
        spread: whether receivers pass on the records that are new to them.
    """

    hosts: tuple[HostRecord, ...]
    spread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DomainDigest:
    """Digest of one failure domain's host records."""

    domain: str
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostDigests:
    """Digest of each failure domain's host records at the sender."""

    domains: tuple[DomainDigest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BucketDigests:
    """Digests of the buckets of one failure domain's host records.

    Attributes:
        domain: the failure domain.
        digests: one per bucket.
        answer: whether this answers bucket digests.
    """

    domain: str
    digests: tuple[int, ...]
    answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """The sender cannot answer a pull now; retry later or at another node."""

    retry_after_ms: int
    try_address: str


ControlMessage: t.TypeAlias = (
    Hello
    | VersionAnnouncement
    | Pull
    | Change
    | HostUpdate
    | HostDigests
    | BucketDigests
    | Busy
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a node."""

    address: str
    message: ControlMessage


@dataclasses.dataclass(frozen=True, slots=True)
class WatchHead:
    """Wait for a head above a version at the platform; report it to `on_head`.

    Attributes:
        after_version: the version.
        is_reader: whether the node may call at a reader's rate.
    """

    after_version: int
    is_reader: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadValues:
    """Read values from the platform; report them to `on_values`."""

    head: Head
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHosts:
    """Read a failure domain's host list from the platform; report it to `on_hosts`."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDomains:
    """Read the failure domains' names at the platform; report them to `on_domains`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplySnapshot:
    """Use a snapshot, which is in force now."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseVersion:
    """Report a version that was refused."""

    head: Head
    error: CactushookError


SourceCall: t.TypeAlias = WatchHead | ReadValues | ReadHosts | ReadDomains
Action: t.TypeAlias = Send | SourceCall | ApplySnapshot | RefuseVersion
