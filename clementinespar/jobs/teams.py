"""Teams of callers and the keys by which calls are assigned to them.

Only digests of keys are kept. A look-up by digest takes the same time whatever part of
a key is right, and neither logs nor dumps of memory contain a key.
"""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team of the configuration in force."""

    name: str
    key_digests: frozenset[bytes]


def hash_key(key: str) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).digest()


def index_by_key_digest(teams: Iterable[Team]) -> Mapping[bytes, Team]:
    """Return the teams by the digest of each of their keys."""
    return {digest: team for team in teams for digest in team.key_digests}


def parse_bearer(header: str) -> str | None:
    """Return the key of an Authorization header, or None if it holds none."""
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    return key if scheme.lower() == "bearer" and key else None
