"""Teams of callers and the keys by which calls are assigned to them.

Only digests of keys are kept. A look-up by digest takes the same time whatever part of
a key is right, and neither logs nor dumps of memory contain a key.
"""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping

from clementinespar.jobs import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team of the configuration in force.

    Attributes
    ----------
    weight : float
        Its part of a full pool relative to other teams, and its rate in jobs a second.
    cap : resources.Resources
        What all its running tasks may use together; 0 means no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    weight: float = 1.0
    cap: resources.Resources = resources.ZERO


def hash_key(key: str) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).digest()


def index_by_key_digest(teams: Iterable[Team]) -> Mapping[bytes, Team]:
    """Return the teams by the digest of each of their keys."""
    return {digest: team for team in teams for digest in team.key_digests}


def find_caps(teams_by_name: Mapping[str, Team]) -> dict[str, resources.Resources]:
    """Return the caps of the teams that have one, by the name of the team."""
    return {name: team.cap for name, team in teams_by_name.items() if any(team.cap)}


def parse_bearer(header: str) -> str | None:
    """Return the key of an Authorization header, or None if it holds none."""
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    return key if scheme.lower() == "bearer" and key else None
