"""Rebuilds a version's inner values from an earlier version and the changed leaves.

Shards and the root follow from the leaves, so a change need not contain them: the
receiver computes them, and the root digest verifies the result.
"""

import typing as t

import msgspec

from .digests import canonical_json
from .digests import digest
from .nodes import OperatorsFile
from .nodes import TeamFile
from .publication import Head
from .publication import Publication
from .publication import Root
from .publication import ServiceRef
from .publication import Shard
from .publication import shard_index


def changed_leaves(before: Publication, after: Publication) -> tuple[bytes, ...] | None:
    """Returns the values from which ``after`` can be rebuilt, or None.

    None means that ``after`` does not follow from ``before`` and the new leaves
    alone, for example because a service was removed.
    """
    if not before.head.root:
        return None
    names = after.values.keys() - before.values.keys()
    root = msgspec.json.decode(after.values[after.head.root], type=Root)
    inner = {after.head.root, *root.shards}
    leaves = tuple(after.values[name] for name in sorted(names - inner))
    if rebuild(before, after.head, leaves) is None:
        return None
    return leaves


def rebuild(
    before: Publication, head: Head, leaves: t.Iterable[bytes]
) -> dict[str, bytes] | None:
    """Returns the values that ``head`` adds to ``before``, or None.

    None means that the result does not have the root digest of ``head``.
    """
    root = msgspec.json.decode(before.values[before.head.root], type=Root)
    operators, shards = root.operators, list(root.shards)
    values: dict[str, bytes] = {}
    for raw in leaves:
        name = digest(raw)
        values[name] = raw
        leaf = _decode_leaf(raw)
        match leaf:
            case TeamFile(service=service):
                index = shard_index(service)
                known = values.get(shards[index]) or before.values[shards[index]]
                shards[index] = _replace_service(values, known, service, name)
            case OperatorsFile():
                operators = name
            case _:
                return None
    raw = canonical_json(Root(operators=operators, shards=tuple(shards)))
    values[digest(raw)] = raw
    return values if digest(raw) == head.root else None


def _decode_leaf(raw: bytes) -> TeamFile | OperatorsFile | None:
    for kind in (TeamFile, OperatorsFile):
        try:
            return msgspec.json.decode(raw, type=kind)
        except (msgspec.MsgspecError, RecursionError, UnicodeError):
            continue
    return None


def _replace_service(
    values: dict[str, bytes], shard_raw: bytes, service: str, name: str
) -> str:
    shard = msgspec.json.decode(shard_raw, type=Shard)
    refs = {ref.service: ref for ref in shard.services}
    refs[service] = ServiceRef(service=service, digest=name)
    raw = canonical_json(Shard(services=tuple(refs[key] for key in sorted(refs))))
    shard_name = digest(raw)
    values[shard_name] = raw
    return shard_name
