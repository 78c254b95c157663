"""Thrift messages between nodes, and their framing."""

import struct
import typing as t

import xxhash
from cactushook import ErrorKind
from cactushook import Head
from cactushook import HostRecord
from cactushook import HostState
from cactushook import Load
from cactushook import messages
from cactushook import WireError
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize
from thriftpy2.utils import serialize

from . import thrift_bounds
from . import wire_messages as _messages

Header = _messages.Header
HostEntry = _messages.HostEntry
Hello = _messages.Hello
LoadReport = _messages.LoadReport
CallMessage = _messages.CallMessage
ReplyMessage = _messages.ReplyMessage
ChunkMessage = _messages.ChunkMessage
CreditMessage = _messages.CreditMessage
RefusalMessage = _messages.RefusalMessage
CancelMessage = _messages.CancelMessage
VersionMessage = _messages.VersionMessage
PullMessage = _messages.PullMessage
ChangeMessage = _messages.ChangeMessage
HostsMessage = _messages.HostsMessage
CrashMessage = _messages.CrashMessage
CrashPullMessage = _messages.CrashPullMessage
CrashListMessage = _messages.CrashListMessage
BusyMessage = _messages.BusyMessage
DomainDigest = _messages.DomainDigest
HostDigestsMessage = _messages.HostDigestsMessage
BucketsMessage = _messages.BucketsMessage
JoinMessage = _messages.JoinMessage
JoinedMessage = _messages.JoinedMessage
PingMessage = _messages.PingMessage
RetireMessage = _messages.RetireMessage
SilenceMessage = _messages.SilenceMessage
StoreItem = _messages.StoreItem
RevisionMessage = _messages.RevisionMessage
ItemsPullMessage = _messages.ItemsPullMessage
ItemsMessage = _messages.ItemsMessage
FollowMessage = _messages.FollowMessage
QuotaReturn = _messages.QuotaReturn
QuotaAsk = _messages.QuotaAsk
QuotaRequestMessage = _messages.QuotaRequestMessage
QuotaGrant = _messages.QuotaGrant
QuotaGrantMessage = _messages.QuotaGrantMessage
QuotaHandoverMessage = _messages.QuotaHandoverMessage
Envelope = _messages.Envelope

Message: t.TypeAlias = t.Any
CONTROL_MESSAGES = (
    Hello,
    VersionMessage,
    PullMessage,
    ChangeMessage,
    HostsMessage,
    CrashMessage,
    CrashPullMessage,
    CrashListMessage,
    BusyMessage,
    PingMessage,
    RetireMessage,
    SilenceMessage,
    RevisionMessage,
    ItemsPullMessage,
    ItemsMessage,
    FollowMessage,
    QuotaRequestMessage,
    QuotaGrantMessage,
    QuotaHandoverMessage,
)
# Messages that carry an answer, or a part of it, to the entry.
ANSWER_MESSAGES = (ReplyMessage, ChunkMessage, RefusalMessage)

_FRAME_HEADER = struct.Struct("!II")
FRAME_HEADER_BYTES = _FRAME_HEADER.size
CHUNK_BYTES = 32_768
MAX_WIRE_MS = 2**31 - 1
INITIAL_CREDIT_CHUNKS = 16

_protocol = TCyBinaryProtocolFactory()
_field_by_type = {spec[2]: spec[1] for spec in Envelope.thrift_spec.values()}


def encode(message: Message) -> bytes:
    """Encodes a message as a frame: length, checksum and envelope."""
    envelope = Envelope(**{_field_by_type[type(message)]: message})
    payload = serialize(envelope, _protocol)
    return _FRAME_HEADER.pack(len(payload), xxhash.xxh32_intdigest(payload)) + payload


class FrameDecoder:
    """Decodes received bytes into messages.

    Args:
        max_bytes: maximum length of a payload.

    Attributes:
        last_frame_bytes: length of the frame that held the message yielded last.
    """

    def __init__(self, max_bytes: int) -> None:
        self.last_frame_bytes = 0
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> t.Iterator[Message]:
        """Yields each complete message.

        Raises:
            WireError: a frame is too long, is damaged or cannot be decoded.
        """
        self._buffer += data
        while len(self._buffer) >= FRAME_HEADER_BYTES:
            length, checksum = _FRAME_HEADER.unpack_from(self._buffer)
            if length > self._max_bytes:
                raise WireError(
                    ErrorKind.FRAME_TOO_LARGE,
                    f"frame of {length} bytes exceeds {self._max_bytes}",
                )
            end = FRAME_HEADER_BYTES + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[FRAME_HEADER_BYTES:end])
            del self._buffer[:end]
            self.last_frame_bytes = end
            yield _decode(payload, checksum)


def _decode(payload: bytes, checksum: int) -> Message:
    if xxhash.xxh32_intdigest(payload) != checksum:
        raise WireError(ErrorKind.FRAME_INVALID, "frame checksum does not match")
    thrift_bounds.check_payload(payload)
    try:
        envelope = deserialize(Envelope(), payload, _protocol)
    except Exception as error:
        raise WireError(
            ErrorKind.FRAME_INVALID, f"cannot decode message: {error}"
        ) from error
    messages = [value for value in vars(envelope).values() if value is not None]
    if len(messages) != 1:
        raise WireError(
            ErrorKind.FRAME_INVALID, f"envelope holds {len(messages)} messages"
        )
    _require_fields(messages[0])
    return messages[0]


def _require_fields(message: Message) -> None:
    for name, value in vars(message).items():
        if value is None:
            raise WireError(
                ErrorKind.FRAME_INVALID, f"{type(message).__name__} lacks {name!r}"
            )


def host_to_message(record: HostRecord) -> Message:
    """Converts a host record to its message."""
    return HostEntry(
        name=record.name,
        address=record.address,
        domain=record.domain,
        region=record.region,
        service_name=record.service,
        state=record.state.value,
        incarnation=record.incarnation,
    )


def host_from_message(entry: Message) -> HostRecord:
    """Converts a message to a host record.

    Raises:
        WireError: the host state is unknown.
    """
    try:
        state = HostState(entry.state)
    except ValueError as error:
        raise WireError(ErrorKind.FRAME_INVALID, f"host state: {error}") from error
    return HostRecord(
        name=entry.name,
        address=entry.address,
        domain=entry.domain,
        region=entry.region,
        service=entry.service_name,
        state=state,
        incarnation=entry.incarnation,
    )


def home_from_message(entries: t.Sequence[Message]) -> HostRecord | None:
    """Converts the home named in a refusal; returns None if there is none."""
    return host_from_message(entries[0]) if entries else None


def load_to_message(load: Load) -> Message:
    """Converts a load to its message."""
    return LoadReport(
        running=load.running,
        queued=load.queued,
        capacity=load.capacity,
        accepting=load.accepting,
        send_ms=round(load.send_ms),
        service_ms=min(MAX_WIRE_MS, round(load.service_ms)),
        overload_permille=round(1_000 * load.overload_level),
    )


def load_from_message(report: Message) -> Load:
    """Converts a message to a load."""
    return Load(
        report.running,
        report.queued,
        report.capacity,
        report.accepting,
        report.send_ms,
        report.service_ms,
        report.overload_permille / 1_000,
    )


def error_kind_from_code(code: str) -> ErrorKind:
    """Converts a code to its kind.

    An unknown code becomes ``PEER_LOST``, since the request may have run.
    """
    try:
        return ErrorKind(code)
    except ValueError:
        return ErrorKind.PEER_LOST


def control_to_message(message: messages.ControlMessage) -> Message:
    """Converts a control message to its thrift form."""
    match message:
        case messages.Hello(host, head, floor_version):
            return Hello(host_to_message(host), head.version, head.root, floor_version)
        case messages.VersionAnnouncement(head, hosts_digest, floor_version, answer):
            return VersionMessage(
                head.version, head.root, hosts_digest, floor_version, answer
            )
        case messages.Pull(have_root, hosts):
            return PullMessage(have_root, hosts)
        case messages.Change(head, values, base_root):
            return ChangeMessage(head.version, head.root, list(values), base_root)
        case messages.HostUpdate(hosts, spread):
            return HostsMessage([host_to_message(host) for host in hosts], spread)
        case messages.HostDigests(domains):
            return HostDigestsMessage(
                [DomainDigest(item.domain, item.digest) for item in domains]
            )
        case messages.BucketDigests(domain, digests, answer):
            return BucketsMessage(domain, list(digests), answer)
        case messages.Busy(retry_after_ms, try_address):
            return BusyMessage(retry_after_ms, try_address)
    t.assert_never(message)


def control_from_message(message: Message) -> messages.ControlMessage:
    """Converts a thrift message to a control message.

    Raises:
        WireError: the message is not a control message, or its host state is unknown.
    """
    match message:
        case Hello():
            host = host_from_message(message.host)
            head = Head(version=message.version, root=message.root)
            return messages.Hello(host, head, message.floor_version)
        case VersionMessage():
            head = Head(version=message.version, root=message.root)
            return messages.VersionAnnouncement(
                head, message.hosts_digest, message.floor_version, message.answer
            )
        case PullMessage():
            return messages.Pull(message.have_root, message.hosts)
        case ChangeMessage():
            head = Head(version=message.version, root=message.root)
            return messages.Change(head, tuple(message.values), message.base_root)
        case HostsMessage():
            hosts = tuple(host_from_message(host) for host in message.hosts)
            return messages.HostUpdate(hosts, message.spread)
        case HostDigestsMessage():
            return messages.HostDigests(
                tuple(
                    messages.DomainDigest(item.domain, item.digest)
                    for item in message.domains
                )
            )
        case BucketsMessage():
            return messages.BucketDigests(
                message.domain, tuple(message.digests), message.answer
            )
        case BusyMessage():
            return messages.Busy(message.retry_after_ms, message.try_address)
    raise WireError(
        ErrorKind.FRAME_INVALID, f"{type(message).__name__} is not a control message"
    )
