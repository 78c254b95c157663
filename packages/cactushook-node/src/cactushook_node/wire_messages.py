"""Thrift messages between nodes.

Generated from ``wire.thrift`` by ``generate_messages.py``; not edited by hand.
"""

from thriftpy2.thrift import TPayload
from thriftpy2.thrift import TType


class Header(TPayload):
    """Struct ``Header``."""

    thrift_spec = {
        1: (TType.BINARY, "name", False),
        2: (TType.BINARY, "value", False),
    }

    def __init__(
        self,
        name=None,
        value=None,
    ):
        self.name = name
        self.value = value


class HostEntry(TPayload):
    """Struct ``HostEntry``."""

    thrift_spec = {
        1: (TType.STRING, "name", False),
        2: (TType.STRING, "address", False),
        3: (TType.STRING, "domain", False),
        4: (TType.STRING, "region", False),
        5: (TType.STRING, "service_name", False),
        6: (TType.STRING, "state", False),
        7: (TType.I64, "incarnation", False),
    }

    def __init__(
        self,
        name=None,
        address=None,
        domain=None,
        region=None,
        service_name=None,
        state=None,
        incarnation=None,
    ):
        self.name = name
        self.address = address
        self.domain = domain
        self.region = region
        self.service_name = service_name
        self.state = state
        self.incarnation = incarnation


class Hello(TPayload):
    """Struct ``Hello``."""

    thrift_spec = {
        1: (TType.STRUCT, "host", HostEntry, False),
        2: (TType.I64, "version", False),
        3: (TType.STRING, "root", False),
        4: (TType.I64, "floor_version", False),
    }

    def __init__(
        self,
        host=None,
        version=None,
        root=None,
        floor_version=None,
    ):
        self.host = host
        self.version = version
        self.root = root
        self.floor_version = floor_version


class LoadReport(TPayload):
    """Struct ``LoadReport``."""

    thrift_spec = {
        1: (TType.I32, "running", False),
        2: (TType.I32, "queued", False),
        3: (TType.I32, "capacity", False),
        4: (TType.BOOL, "accepting", False),
        5: (TType.I32, "send_ms", False),
        6: (TType.I32, "service_ms", False),
        7: (TType.I32, "overload_permille", False),
    }

    def __init__(
        self,
        running=None,
        queued=None,
        capacity=None,
        accepting=None,
        send_ms=0,
        service_ms=0,
        overload_permille=0,
    ):
        self.running = running
        self.queued = queued
        self.capacity = capacity
        self.accepting = accepting
        self.send_ms = send_ms
        self.service_ms = service_ms
        self.overload_permille = overload_permille


class CallMessage(TPayload):
    """Struct ``CallMessage``."""

    thrift_spec = {
        1: (TType.I64, "stream_id", False),
        2: (TType.STRING, "request_id", False),
        3: (TType.STRING, "service_name", False),
        4: (TType.STRING, "route_class", False),
        5: (TType.STRING, "method", False),
        6: (TType.BINARY, "target", False),
        7: (TType.LIST, "headers", (TType.STRUCT, Header), False),
        8: (TType.BINARY, "body", False),
        9: (TType.I32, "timeout_ms", False),
        10: (TType.I64, "version", False),
        11: (TType.I32, "attempts_left", False),
        12: (TType.I32, "hops", False),
        13: (TType.STRING, "key", False),
        14: (TType.I64, "key_issued_ms", False),
        15: (TType.I64, "resend_window_ms", False),
        16: (TType.STRING, "fingerprint", False),
        17: (TType.LIST, "fences", TType.STRING, False),
        18: (TType.I32, "objective_ms", False),
        19: (TType.I32, "priority", False),
        20: (TType.BOOL, "nested", False),
        21: (TType.BOOL, "resent", False),
        22: (TType.BOOL, "insists", False),
        23: (TType.I32, "answer_bytes", False),
        24: (TType.BOOL, "may_wait", False),
        25: (TType.STRING, "route", False),
        26: (TType.STRING, "variant", False),
    }

    def __init__(
        self,
        stream_id=None,
        request_id=None,
        service_name=None,
        route_class=None,
        method=None,
        target=None,
        headers=None,
        body=None,
        timeout_ms=None,
        version=None,
        attempts_left=None,
        hops=None,
        key=None,
        key_issued_ms=None,
        resend_window_ms=None,
        fingerprint=None,
        fences=None,
        objective_ms=2147483647,
        priority=0,
        nested=False,
        resent=False,
        insists=False,
        answer_bytes=0,
        may_wait=True,
        route="",
        variant="",
    ):
        self.stream_id = stream_id
        self.request_id = request_id
        self.service_name = service_name
        self.route_class = route_class
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms
        self.version = version
        self.attempts_left = attempts_left
        self.hops = hops
        self.key = key
        self.key_issued_ms = key_issued_ms
        self.resend_window_ms = resend_window_ms
        self.fingerprint = fingerprint
        self.fences = [] if fences is None else fences
        self.objective_ms = objective_ms
        self.priority = priority
        self.nested = nested
        self.resent = resent
        self.insists = insists
        self.answer_bytes = answer_bytes
        self.may_wait = may_wait
        self.route = route
        self.variant = variant


class ReplyMessage(TPayload):
    """Struct ``ReplyMessage``."""

    thrift_spec = {
        1: (TType.I64, "stream_id", False),
        2: (TType.I32, "status", False),
        3: (TType.LIST, "headers", (TType.STRUCT, Header), False),
        4: (TType.BINARY, "body", False),
        5: (TType.BOOL, "last", False),
        6: (TType.STRUCT, "load", LoadReport, False),
    }

    def __init__(
        self,
        stream_id=None,
        status=None,
        headers=None,
        body=None,
        last=None,
        load=None,
    ):
        self.stream_id = stream_id
        self.status = status
        self.headers = headers
        self.body = body
        self.last = last
        self.load = load


class ChunkMessage(TPayload):
    """Struct ``ChunkMessage``."""

    thrift_spec = {
        1: (TType.I64, "stream_id", False),
        2: (TType.BINARY, "data", False),
        3: (TType.BOOL, "last", False),
    }

    def __init__(
        self,
        stream_id=None,
        data=None,
        last=None,
    ):
        self.stream_id = stream_id
        self.data = data
        self.last = last


class CreditMessage(TPayload):
    """Struct ``CreditMessage``."""

    thrift_spec = {
        1: (TType.I64, "stream_id", False),
        2: (TType.I32, "chunks", False),
    }

    def __init__(
        self,
        stream_id=None,
        chunks=None,
    ):
        self.stream_id = stream_id
        self.chunks = chunks


class RefusalMessage(TPayload):
    """Struct ``RefusalMessage``."""

    thrift_spec = {
        1: (TType.I64, "stream_id", False),
        2: (TType.STRING, "kind", False),
        3: (TType.STRING, "detail", False),
        4: (TType.STRUCT, "load", LoadReport, False),
        5: (TType.LIST, "home", (TType.STRUCT, HostEntry), False),
        6: (TType.BOOL, "fenced", False),
        7: (TType.I32, "retry_after_ms", False),
    }

    def __init__(
        self,
        stream_id=None,
        kind=None,
        detail=None,
        load=None,
        home=None,
        fenced=False,
        retry_after_ms=0,
    ):
        self.stream_id = stream_id
        self.kind = kind
        self.detail = detail
        self.load = load
        self.home = [] if home is None else home
        self.fenced = fenced
        self.retry_after_ms = retry_after_ms


class CancelMessage(TPayload):
    """Struct ``CancelMessage``."""

    thrift_spec = {
        1: (TType.I64, "stream_id", False),
    }

    def __init__(
        self,
        stream_id=None,
    ):
        self.stream_id = stream_id


class VersionMessage(TPayload):
    """Struct ``VersionMessage``."""

    thrift_spec = {
        1: (TType.I64, "version", False),
        2: (TType.STRING, "root", False),
        3: (TType.I64, "hosts_digest", False),
        4: (TType.I64, "floor_version", False),
        5: (TType.BOOL, "answer", False),
    }

    def __init__(
        self,
        version=None,
        root=None,
        hosts_digest=None,
        floor_version=None,
        answer=None,
    ):
        self.version = version
        self.root = root
        self.hosts_digest = hosts_digest
        self.floor_version = floor_version
        self.answer = answer


class PullMessage(TPayload):
    """Struct ``PullMessage``."""

    thrift_spec = {
        1: (TType.STRING, "have_root", False),
        2: (TType.BOOL, "hosts", False),
    }

    def __init__(
        self,
        have_root=None,
        hosts=None,
    ):
        self.have_root = have_root
        self.hosts = hosts


class ChangeMessage(TPayload):
    """Struct ``ChangeMessage``."""

    thrift_spec = {
        1: (TType.I64, "version", False),
        2: (TType.STRING, "root", False),
        3: (TType.LIST, "values", TType.BINARY, False),
        4: (TType.STRING, "base_root", False),
    }

    def __init__(
        self,
        version=None,
        root=None,
        values=None,
        base_root=None,
    ):
        self.version = version
        self.root = root
        self.values = values
        self.base_root = base_root


class HostsMessage(TPayload):
    """Struct ``HostsMessage``."""

    thrift_spec = {
        1: (TType.LIST, "hosts", (TType.STRUCT, HostEntry), False),
        2: (TType.BOOL, "spread", False),
    }

    def __init__(
        self,
        hosts=None,
        spread=None,
    ):
        self.hosts = hosts
        self.spread = spread


class DomainDigest(TPayload):
    """Struct ``DomainDigest``."""

    thrift_spec = {
        1: (TType.STRING, "domain", False),
        2: (TType.I64, "digest", False),
    }

    def __init__(
        self,
        domain=None,
        digest=None,
    ):
        self.domain = domain
        self.digest = digest


class HostDigestsMessage(TPayload):
    """Struct ``HostDigestsMessage``."""

    thrift_spec = {
        1: (TType.LIST, "domains", (TType.STRUCT, DomainDigest), False),
    }

    def __init__(
        self,
        domains=None,
    ):
        self.domains = domains


class BucketsMessage(TPayload):
    """Struct ``BucketsMessage``."""

    thrift_spec = {
        1: (TType.STRING, "domain", False),
        2: (TType.LIST, "digests", TType.I64, False),
        3: (TType.BOOL, "answer", False),
    }

    def __init__(
        self,
        domain=None,
        digests=None,
        answer=None,
    ):
        self.domain = domain
        self.digests = digests
        self.answer = answer


class CrashMessage(TPayload):
    """Struct ``CrashMessage``."""

    thrift_spec = {
        1: (TType.STRING, "service_name", False),
        2: (TType.STRING, "fingerprint", False),
        3: (TType.STRING, "host", False),
        4: (TType.STRING, "variant", False),
        5: (TType.STRING, "crash_id", False),
        6: (TType.I32, "age_ms", False),
    }

    def __init__(
        self,
        service_name=None,
        fingerprint=None,
        host=None,
        variant="",
        crash_id="",
        age_ms=0,
    ):
        self.service_name = service_name
        self.fingerprint = fingerprint
        self.host = host
        self.variant = variant
        self.crash_id = crash_id
        self.age_ms = age_ms


class CrashPullMessage(TPayload):
    """Struct ``CrashPullMessage``."""

    thrift_spec = {
        1: (TType.STRING, "service_name", False),
    }

    def __init__(
        self,
        service_name=None,
    ):
        self.service_name = service_name


class CrashListMessage(TPayload):
    """Struct ``CrashListMessage``."""

    thrift_spec = {
        1: (TType.LIST, "crashes", (TType.STRUCT, CrashMessage), False),
        2: (TType.BOOL, "complete", False),
    }

    def __init__(
        self,
        crashes=None,
        complete=True,
    ):
        self.crashes = [] if crashes is None else crashes
        self.complete = complete


class JoinMessage(TPayload):
    """Struct ``JoinMessage``."""

    thrift_spec = {
        1: (TType.STRUCT, "host", HostEntry, False),
    }

    def __init__(
        self,
        host=None,
    ):
        self.host = host


class JoinedMessage(TPayload):
    """Struct ``JoinedMessage``."""

    thrift_spec = {
        1: (TType.STRUCT, "host", HostEntry, False),
        2: (TType.I64, "at_ms", False),
        3: (TType.LIST, "hosts", (TType.STRUCT, HostEntry), False),
    }

    def __init__(
        self,
        host=None,
        at_ms=None,
        hosts=None,
    ):
        self.host = host
        self.at_ms = at_ms
        self.hosts = hosts


class BusyMessage(TPayload):
    """Struct ``BusyMessage``."""

    thrift_spec = {
        1: (TType.I32, "retry_after_ms", False),
        2: (TType.STRING, "try_address", False),
    }

    def __init__(
        self,
        retry_after_ms=None,
        try_address=None,
    ):
        self.retry_after_ms = retry_after_ms
        self.try_address = try_address


class PingMessage(TPayload):
    """Struct ``PingMessage``."""

    thrift_spec = {
        1: (TType.BOOL, "answer", False),
    }

    def __init__(
        self,
        answer=None,
    ):
        self.answer = answer


class RetireMessage(TPayload):
    """Struct ``RetireMessage``."""

    thrift_spec = {
        1: (TType.BOOL, "answer", False),
    }

    def __init__(
        self,
        answer=None,
    ):
        self.answer = answer


class SilenceMessage(TPayload):
    """Struct ``SilenceMessage``."""

    thrift_spec = {
        1: (TType.LIST, "addresses", TType.STRING, False),
    }

    def __init__(
        self,
        addresses=None,
    ):
        self.addresses = addresses


class StoreItem(TPayload):
    """Struct ``StoreItem``."""

    thrift_spec = {
        1: (TType.STRING, "key", False),
        2: (TType.BINARY, "value", False),
        3: (TType.I64, "revision", False),
        4: (TType.BOOL, "deleted", False),
        5: (TType.BOOL, "deflated", False),
        6: (TType.I64, "base_revision", False),
    }

    def __init__(
        self,
        key=None,
        value=None,
        revision=None,
        deleted=None,
        deflated=False,
        base_revision=0,
    ):
        self.key = key
        self.value = value
        self.revision = revision
        self.deleted = deleted
        self.deflated = deflated
        self.base_revision = base_revision


class RevisionMessage(TPayload):
    """Struct ``RevisionMessage``."""

    thrift_spec = {
        1: (TType.I64, "revision", False),
        2: (TType.BOOL, "answer", False),
        3: (TType.BOOL, "fresh", False),
        4: (TType.I64, "era", False),
        5: (TType.I64, "asked_ms", False),
        6: (TType.I64, "synced_age_ms", False),
    }

    def __init__(
        self,
        revision=None,
        answer=None,
        fresh=False,
        era=0,
        asked_ms=0,
        synced_age_ms=-1,
    ):
        self.revision = revision
        self.answer = answer
        self.fresh = fresh
        self.era = era
        self.asked_ms = asked_ms
        self.synced_age_ms = synced_age_ms


class FollowMessage(TPayload):
    """Struct ``FollowMessage``."""

    thrift_spec = {
        1: (TType.I64, "after", False),
        2: (TType.BOOL, "push", False),
        3: (TType.I64, "era", False),
        4: (TType.I64, "sent_ms", False),
    }

    def __init__(
        self,
        after=None,
        push=None,
        era=0,
        sent_ms=0,
    ):
        self.after = after
        self.push = push
        self.era = era
        self.sent_ms = sent_ms


class ItemsPullMessage(TPayload):
    """Struct ``ItemsPullMessage``."""

    thrift_spec = {
        1: (TType.I64, "after", False),
        2: (TType.I64, "era", False),
    }

    def __init__(
        self,
        after=None,
        era=0,
    ):
        self.after = after
        self.era = era


class ItemsMessage(TPayload):
    """Struct ``ItemsMessage``."""

    thrift_spec = {
        1: (TType.I64, "base", False),
        2: (TType.I64, "revision", False),
        3: (TType.LIST, "items", (TType.STRUCT, StoreItem), False),
        4: (TType.I64, "era", False),
    }

    def __init__(
        self,
        base=None,
        revision=None,
        items=None,
        era=0,
    ):
        self.base = base
        self.revision = revision
        self.items = items
        self.era = era


class QuotaReturn(TPayload):
    """Struct ``QuotaReturn``."""

    thrift_spec = {
        1: (TType.I64, "sequence", False),
        2: (TType.I32, "tokens", False),
    }

    def __init__(
        self,
        sequence=None,
        tokens=None,
    ):
        self.sequence = sequence
        self.tokens = tokens


class QuotaAsk(TPayload):
    """Struct ``QuotaAsk``."""

    thrift_spec = {
        1: (TType.STRING, "workspace", False),
        2: (TType.I32, "wanted", False),
        3: (TType.LIST, "returned", (TType.STRUCT, QuotaReturn), False),
        4: (TType.I64, "demand_per_ks", False),
    }

    def __init__(
        self,
        workspace=None,
        wanted=None,
        returned=None,
        demand_per_ks=None,
    ):
        self.workspace = workspace
        self.wanted = wanted
        self.returned = returned
        self.demand_per_ks = demand_per_ks


class QuotaRequestMessage(TPayload):
    """Struct ``QuotaRequestMessage``."""

    thrift_spec = {
        1: (TType.I64, "incarnation", False),
        2: (TType.I64, "sequence", False),
        3: (TType.LIST, "asks", (TType.STRUCT, QuotaAsk), False),
    }

    def __init__(
        self,
        incarnation=None,
        sequence=None,
        asks=None,
    ):
        self.incarnation = incarnation
        self.sequence = sequence
        self.asks = asks


class QuotaGrant(TPayload):
    """Struct ``QuotaGrant``."""

    thrift_spec = {
        1: (TType.STRING, "workspace", False),
        2: (TType.I32, "tokens", False),
        3: (TType.I32, "wait_ms", False),
        4: (TType.BOOL, "serving", False),
        5: (TType.I64, "rate_per_ks", False),
    }

    def __init__(
        self,
        workspace=None,
        tokens=None,
        wait_ms=None,
        serving=None,
        rate_per_ks=None,
    ):
        self.workspace = workspace
        self.tokens = tokens
        self.wait_ms = wait_ms
        self.serving = serving
        self.rate_per_ks = rate_per_ks


class QuotaGrantMessage(TPayload):
    """Struct ``QuotaGrantMessage``."""

    thrift_spec = {
        1: (TType.I64, "incarnation", False),
        2: (TType.I64, "sequence", False),
        3: (TType.LIST, "grants", (TType.STRUCT, QuotaGrant), False),
    }

    def __init__(
        self,
        incarnation=None,
        sequence=None,
        grants=None,
    ):
        self.incarnation = incarnation
        self.sequence = sequence
        self.grants = grants


class QuotaHandoverMessage(TPayload):
    """Struct ``QuotaHandoverMessage``."""

    thrift_spec = {
        1: (TType.LIST, "workspaces", TType.STRING, False),
        2: (TType.LIST, "served", TType.STRING, False),
        3: (TType.BOOL, "answer", False),
    }

    def __init__(
        self,
        workspaces=None,
        served=None,
        answer=None,
    ):
        self.workspaces = workspaces
        self.served = served
        self.answer = answer


class Envelope(TPayload):
    """Struct ``Envelope``."""

    thrift_spec = {
        1: (TType.STRUCT, "hello", Hello, False),
        2: (TType.STRUCT, "call", CallMessage, False),
        3: (TType.STRUCT, "reply", ReplyMessage, False),
        4: (TType.STRUCT, "chunk", ChunkMessage, False),
        5: (TType.STRUCT, "credit", CreditMessage, False),
        6: (TType.STRUCT, "refusal", RefusalMessage, False),
        7: (TType.STRUCT, "cancel", CancelMessage, False),
        8: (TType.STRUCT, "version", VersionMessage, False),
        9: (TType.STRUCT, "pull", PullMessage, False),
        10: (TType.STRUCT, "change", ChangeMessage, False),
        11: (TType.STRUCT, "hosts", HostsMessage, False),
        12: (TType.STRUCT, "crash", CrashMessage, False),
        13: (TType.STRUCT, "busy", BusyMessage, False),
        14: (TType.STRUCT, "host_digests", HostDigestsMessage, False),
        15: (TType.STRUCT, "buckets", BucketsMessage, False),
        16: (TType.STRUCT, "join", JoinMessage, False),
        17: (TType.STRUCT, "joined", JoinedMessage, False),
        18: (TType.STRUCT, "ping", PingMessage, False),
        19: (TType.STRUCT, "retire", RetireMessage, False),
        20: (TType.STRUCT, "revision", RevisionMessage, False),
        21: (TType.STRUCT, "items_pull", ItemsPullMessage, False),
        22: (TType.STRUCT, "items", ItemsMessage, False),
        23: (TType.STRUCT, "follow", FollowMessage, False),
        24: (TType.STRUCT, "silence", SilenceMessage, False),
        25: (TType.STRUCT, "quota_request", QuotaRequestMessage, False),
        26: (TType.STRUCT, "quota_grant", QuotaGrantMessage, False),
        27: (TType.STRUCT, "quota_handover", QuotaHandoverMessage, False),
        28: (TType.STRUCT, "crash_pull", CrashPullMessage, False),
        29: (TType.STRUCT, "crash_list", CrashListMessage, False),
    }

    def __init__(
        self,
        hello=None,
        call=None,
        reply=None,
        chunk=None,
        credit=None,
        refusal=None,
        cancel=None,
        version=None,
        pull=None,
        change=None,
        hosts=None,
        crash=None,
        busy=None,
        host_digests=None,
        buckets=None,
        join=None,
        joined=None,
        ping=None,
        retire=None,
        revision=None,
        items_pull=None,
        items=None,
        follow=None,
        silence=None,
        quota_request=None,
        quota_grant=None,
        quota_handover=None,
        crash_pull=None,
        crash_list=None,
    ):
        self.hello = hello
        self.call = call
        self.reply = reply
        self.chunk = chunk
        self.credit = credit
        self.refusal = refusal
        self.cancel = cancel
        self.version = version
        self.pull = pull
        self.change = change
        self.hosts = hosts
        self.crash = crash
        self.busy = busy
        self.host_digests = host_digests
        self.buckets = buckets
        self.join = join
        self.joined = joined
        self.ping = ping
        self.retire = retire
        self.revision = revision
        self.items_pull = items_pull
        self.items = items
        self.follow = follow
        self.silence = silence
        self.quota_request = quota_request
        self.quota_grant = quota_grant
        self.quota_handover = quota_handover
        self.crash_pull = crash_pull
        self.crash_list = crash_list
