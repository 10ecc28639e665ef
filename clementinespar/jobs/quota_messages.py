"""Messages between the owners of partitions and the ledger of the teams' caps."""

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from clementinespar.jobs import resources

MAX_BODY_BYTES = 256 * 1024
MAX_TEAMS = 10_000
_MAX_NUMBER = 2**53

Shares = Mapping[str, resources.Resources]  # by team


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An owner's request for larger shares.

    Attributes
    ----------
    held : mapping or None
        What the partition holds now of the teams in `wanted`. None: the owner does not
        know its shares.
    wanted : mapping
        What is lacking beyond `held`.
    """

    partition: int
    epoch: int
    number: int
    held: Shares | None
    wanted: Shares

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        fields: dict[str, object] = {
            "partition": self.partition,
            "epoch": self.epoch,
            "number": self.number,
        }
        if self.held is not None:
            fields["held"] = self.held
        fields["wanted"] = self.wanted
        return encode(fields)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The ledger's response: what it has recorded for the partition.

    Attributes
    ----------
    version : int
        Version of the configuration of which the ledger knows the caps.
    shares : mapping
        Only of teams whose shares are all known and add up to no more than the cap.
    """

    ledger_epoch: int
    version: int
    shares: Shares

    def encode(self) -> bytes:
        """Return the response as it is sent."""
        return encode(
            {
                "ledger_epoch": self.ledger_epoch,
                "version": self.version,
                "shares": self.shares,
            }
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Recall:
    """The ledger's request to give back what is not used."""

    ledger_epoch: int
    teams: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the recall as it is sent."""
        return encode({"ledger_epoch": self.ledger_epoch, "teams": self.teams})


@dataclasses.dataclass(frozen=True, slots=True)
class RecallResponse:
    """What the partition keeps; a team whose share is unknown is left out."""

    epoch: int
    shares: Shares
    is_settled: bool

    def encode(self) -> bytes:
        """Return the response as it is sent."""
        return encode(
            {
                "epoch": self.epoch,
                "shares": self.shares,
                "is_settled": self.is_settled,
            }
        )


def encode(fields: Any) -> bytes:
    """Return compact JSON."""
    return json.dumps(fields, separators=(",", ":")).encode()


def parse_request(body: bytes) -> Request:
    """Return the request of a body; raises ValueError."""
    fields = _parse_object(body)
    held = fields.get("held")
    return Request(
        _parse_number(fields.get("partition"), 0),
        _parse_number(fields.get("epoch"), 1),
        _parse_number(fields.get("number"), 1),
        None if held is None else _parse_shares(held),
        _parse_shares(fields.get("wanted")),
    )


def parse_response(body: bytes) -> Response:
    """Return the response of a body; raises ValueError."""
    fields = _parse_object(body)
    return Response(
        _parse_number(fields.get("ledger_epoch"), 1),
        _parse_number(fields.get("version"), 0),
        _parse_shares(fields.get("shares")),
    )


def parse_recall(body: bytes) -> Recall:
    """Return the recall of a body; raises ValueError."""
    fields = _parse_object(body)
    names = fields.get("teams")
    if not isinstance(names, list) or len(names) > MAX_TEAMS:
        raise ValueError("teams is not a list of names")
    if not all(isinstance(name, str) for name in names):
        raise ValueError("teams is not a list of names")
    return Recall(_parse_number(fields.get("ledger_epoch"), 1), tuple(names))


def parse_recall_response(body: bytes) -> RecallResponse:
    """Return the response of a body; raises ValueError."""
    fields = _parse_object(body)
    return RecallResponse(
        _parse_number(fields.get("epoch"), 1),
        _parse_shares(fields.get("shares")),
        fields.get("is_settled") is True,
    )


def _parse_object(body: bytes) -> dict[str, Any]:
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"{len(body)} bytes, expected at most {MAX_BODY_BYTES}")
    try:
        fields = json.loads(body)
    except RecursionError as error:
        raise ValueError("the body is nested too deeply") from error
    if not isinstance(fields, dict):
        raise ValueError("the body is not an object")
    return fields


def _parse_number(value: object, lowest: int) -> int:
    # A bool is an int in Python, but not on the wire.
    if type(value) is not int or not lowest <= value < _MAX_NUMBER:
        raise ValueError(f"{value!r} is not a whole number from {lowest}")
    return value


def _parse_shares(value: object) -> dict[str, resources.Resources]:
    if not isinstance(value, dict) or len(value) > MAX_TEAMS:
        raise ValueError("shares are not an object by team")
    shares = {}
    for team, amounts in value.items():
        if not isinstance(amounts, list) or len(amounts) != 3:
            raise ValueError(f"the share of {team!r} is not a list of three numbers")
        shares[team] = resources.Resources(
            *(_parse_number(amount, resources.UNLIMITED) for amount in amounts)
        )
    return shares
