"""Rendezvous hashing: stable choices on which all nodes agree."""

import typing as t

import xxhash


def weight(key: str, member: str) -> int:
    """Returns the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def rank_by_weight(key: str, members: t.Iterable[str]) -> list[str]:
    """Returns members by descending weight for a key."""
    return sorted(members, key=lambda member: (weight(key, member), member))[::-1]


def top(key: str, members: t.Iterable[str]) -> str | None:
    """Returns the member with the highest weight, or None without members."""
    return max(members, key=lambda member: (weight(key, member), member), default=None)
