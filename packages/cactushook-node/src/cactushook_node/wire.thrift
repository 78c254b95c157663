// Messages between nodes. Each frame carries one Envelope.

struct Header {
  1: binary name,
  2: binary value,
}

struct HostEntry {
  1: string name,
  2: string address,
  3: string domain,
  4: string region,
  5: string service_name,
  6: string state,
  7: i64 incarnation,
}

// First message in both directions on every connection.
struct Hello {
  1: HostEntry host,
  2: i64 version,
  3: string root,
  4: i64 floor_version,
}

struct LoadReport {
  1: i32 running,
  2: i32 queued,
  3: i32 capacity,
  4: bool accepting,
  // Time that a large answer waits for the network link of the sender's host.
  5: i32 send_ms = 0,
  // Time that a request takes at the worker; 0 if it is not known.
  6: i32 service_ms = 0,
  // Thousandths of the level below which entries shed requests of the service.
  7: i32 overload_permille = 0,
}

// A request on its way from an entry to a gate.
struct CallMessage {
  1: i64 stream_id,
  2: string request_id,
  3: string service_name,
  4: string route_class,
  5: string method,
  6: binary target,
  7: list<Header> headers,
  8: binary body,
  9: i32 timeout_ms,
  10: i64 version,
  11: i32 attempts_left,
  12: i32 hops,
  13: string key,
  14: i64 key_issued_ms,
  15: i64 resend_window_ms,
  16: string fingerprint,
  17: list<string> fences = [],
  // Time left until an answer is no longer of full use.
  18: i32 objective_ms = 2147483647,
  19: i32 priority = 0,
  20: bool nested = false,
  21: bool resent = false,
  22: bool insists = false,
  // Expected length of the answer; 0 if it is not known.
  23: i32 answer_bytes = 0,
  24: bool may_wait = true,
  // Path of the route that covers the request; empty if it is not known.
  25: string route = "",
  // Digest of the caller and the host.
  26: string variant = "",
}

// Start of a worker's answer; `last` is set if `body` is the whole body.
struct ReplyMessage {
  1: i64 stream_id,
  2: i32 status,
  3: list<Header> headers,
  4: binary body,
  5: bool last,
  6: LoadReport load,
}

struct ChunkMessage {
  1: i64 stream_id,
  2: binary data,
  3: bool last,
}

// Permission to send further chunks of a stream.
struct CreditMessage {
  1: i64 stream_id,
  2: i32 chunks,
}

struct RefusalMessage {
  1: i64 stream_id,
  2: string kind,
  3: string detail,
  4: LoadReport load,
  // The host that must be asked first about a key; at most one entry.
  5: list<HostEntry> home = [],
  // Whether the sender guarantees not to run the key from now on.
  6: bool fenced = false,
  // Time until capacity is expected; 0 if unknown.
  7: i32 retry_after_ms = 0,
}

// The caller disconnected or stopped waiting.
struct CancelMessage {
  1: i64 stream_id,
}

// Version in force at the sender, and the digest of its host list.
struct VersionMessage {
  1: i64 version,
  2: string root,
  3: i64 hosts_digest,
  4: i64 floor_version,
  5: bool answer,
}

// Requests what is missing between `have_root` and the version in force.
struct PullMessage {
  1: string have_root,
  2: bool hosts,
}

// Values of a version. With `base_root` set, only the values that the receiver needs to
// rebuild the version from the version with that root.
struct ChangeMessage {
  1: i64 version,
  2: string root,
  3: list<binary> values,
  4: string base_root,
}

// Host records. With `spread` set, receivers forward records that are new to them.
struct HostsMessage {
  1: list<HostEntry> hosts,
  2: bool spread,
}

struct DomainDigest {
  1: string domain,
  2: i64 digest,
}

// Digest of each failure domain's host records at the sender.
struct HostDigestsMessage {
  1: list<DomainDigest> domains,
}

// Digests of the buckets of one failure domain's host records.
struct BucketsMessage {
  1: string domain,
  2: list<i64> digests,
  3: bool answer,
}

struct CrashMessage {
  1: string service_name,
  2: string fingerprint,
  3: string host,
  4: string variant = "",
  // Identifies the crash; empty if the sender does not tell it.
  5: string crash_id = "",
  6: i32 age_ms = 0,
}

// Asks a gate of a service for the crashes that it knows.
struct CrashPullMessage {
  1: string service_name,
}

// Crashes that the sender knows.
struct CrashListMessage {
  1: list<CrashMessage> crashes = [],
  // Whether the sender is not waiting for crashes of others itself.
  2: bool complete = true,
}

// Requests that an earlier host of the service adds the sender to its ranking.
struct JoinMessage {
  1: HostEntry host,
}

// Confirms that the sender ranks the receiver since `at_ms` on the sender's clock.
struct JoinedMessage {
  1: HostEntry host,
  2: i64 at_ms,
  3: list<HostEntry> hosts,
}

struct BusyMessage {
  1: i32 retry_after_ms,
  2: string try_address,
}

// Requests a sign of life; the peer returns the message with `answer` set.
struct PingMessage {
  1: bool answer,
}

// Announces that the sender sends no further requests on this connection.
struct RetireMessage {
  1: bool answer,
}

// Nodes that do not respond to the sender. Receivers ask those nodes themselves.
struct SilenceMessage {
  1: list<string> addresses,
}

// One value of the platform's store, or its removal.
struct StoreItem {
  1: string key,
  2: binary value,
  3: i64 revision,
  4: bool deleted,
  5: bool deflated = 0,
  // If not 0, `value` is a delta against the value of that revision.
  6: i64 base_revision = 0,
}

// Position in the store's history up to which the sender has read. With `fresh` set, the sender
// reads the store itself and the store has just answered its calls.
struct RevisionMessage {
  1: i64 revision,
  2: bool answer,
  3: bool fresh = 0,
  4: i64 era = 0,
  // With an answer to a subscription: its `sent_ms`, and how long ago the sender knew
  // all that the store had; -1 if it does not read the store.
  5: i64 asked_ms = 0,
  6: i64 synced_age_ms = -1,
}

// Subscribes to changes for a short time; the follower renews it periodically. With
// `push` set, the receiver sends the changes themselves, otherwise only the revision.
struct FollowMessage {
  1: i64 after,
  2: bool push,
  3: i64 era = 0,
  // The follower's time, which the answer returns; 0 if it does not matter.
  4: i64 sent_ms = 0,
}

// Requests the changes after a position in the store's history.
struct ItemsPullMessage {
  1: i64 after,
  2: i64 era = 0,
}

// Changes after `base`, up to `revision`; all values if `base` is 0.
struct ItemsMessage {
  1: i64 base,
  2: i64 revision,
  3: list<StoreItem> items,
  // Era of the store's history that all revisions belong to.
  4: i64 era = 0,
}

// Unused tokens of the lease that the request of that sequence number brought.
struct QuotaReturn {
  1: i64 sequence,
  2: i32 tokens,
}

struct QuotaAsk {
  1: string workspace,
  2: i32 wanted,
  3: list<QuotaReturn> returned,
  // Requests in a thousand seconds.
  4: i64 demand_per_ks,
}

// Requests tokens of all workspaces whose home is the receiver. The sequence number grows
// within an incarnation of the sender.
struct QuotaRequestMessage {
  1: i64 incarnation,
  2: i64 sequence,
  3: list<QuotaAsk> asks,
}

struct QuotaGrant {
  1: string workspace,
  2: i32 tokens,
  3: i32 wait_ms,
  4: bool serving,
  // Tokens in a thousand seconds.
  5: i64 rate_per_ks,
}

struct QuotaGrantMessage {
  1: i64 incarnation,
  2: i64 sequence,
  3: list<QuotaGrant> grants,
}

// Asks the receiver to stop granting tokens of these workspaces, whose home the sender is
// by its host list. The answer names them again, and those that the receiver served until
// then.
struct QuotaHandoverMessage {
  1: list<string> workspaces,
  2: list<string> served,
  3: bool answer,
}

union Envelope {
  1: Hello hello,
  2: CallMessage call,
  3: ReplyMessage reply,
  4: ChunkMessage chunk,
  5: CreditMessage credit,
  6: RefusalMessage refusal,
  7: CancelMessage cancel,
  8: VersionMessage version,
  9: PullMessage pull,
  10: ChangeMessage change,
  11: HostsMessage hosts,
  12: CrashMessage crash,
  13: BusyMessage busy,
  14: HostDigestsMessage host_digests,
  15: BucketsMessage buckets,
  16: JoinMessage join,
  17: JoinedMessage joined,
  18: PingMessage ping,
  19: RetireMessage retire,
  20: RevisionMessage revision,
  21: ItemsPullMessage items_pull,
  22: ItemsMessage items,
  23: FollowMessage follow,
  24: SilenceMessage silence,
  25: QuotaRequestMessage quota_request,
  26: QuotaGrantMessage quota_grant,
  27: QuotaHandoverMessage quota_handover,
  28: CrashPullMessage crash_pull,
  29: CrashListMessage crash_list,
}
