"""Control messages between nodes and the actions that distribution asks for."""

import dataclasses
import typing as t

from .exceptions import CactushookError
from .nodes import HostRecord
from .publication import Head
from .snapshot import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message in both directions of a connection.

    Attributes:
        host: the sender's own record.
        head: version in force at the sender.
        floor_version: highest version that the sender heard from the receiver.
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
        floor_version: highest version that the sender heard from the receiver.
        answer: whether this answers news; news that does not is answered.
    """

    head: Head
    hosts_digest: int
    floor_version: int = 0
    answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Asks for what is missing since ``have_root``, or for the host list."""

    have_root: str
    hosts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Values of a version that the receiver may lack.

    Attributes:
        head: the version.
        values: the values, or only those from which the rest can be rebuilt.
        base_root: root of the version to rebuild from; empty for whole values.
    """

    head: Head
    values: tuple[bytes, ...]
    base_root: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HostUpdate:
    """Host records that may be news to the receiver.

    Attributes:
        hosts: the records.
        spread: whether receivers to whom it is news pass it on.
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
    """The sender cannot serve a pull now; ask later or elsewhere."""

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
    """Wait at the platform for a head above a version; answer with `on_head`."""

    after_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadValues:
    """Read values from the platform; answer with `on_values`."""

    head: Head
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHosts:
    """Read a failure domain's host list from the platform; answer `on_hosts`."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDomains:
    """Read the failure domains' names from the platform; answer `on_domains`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplySnapshot:
    """A snapshot is in force."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseVersion:
    """A version is not applied."""

    head: Head
    error: CactushookError


SourceCall: t.TypeAlias = WatchHead | ReadValues | ReadHosts | ReadDomains
Action: t.TypeAlias = Send | SourceCall | ApplySnapshot | RefuseVersion
