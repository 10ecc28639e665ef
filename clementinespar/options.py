"""Settings of an entry node, read from an INI file.

All sections and keys are defined here. `load_settings` reports all invalid values at
once.
"""

import configparser
import dataclasses
import ipaddress
import pathlib
import re
import urllib.parse
from collections.abc import Iterator, Mapping
from typing import Annotated, Literal

import pydantic
import pydantic.dataclasses
import pydantic_core

from clementinespar import codes, errors

_CONFIG = pydantic.ConfigDict(extra="forbid")
_MIB = 1024 * 1024


def check_ip(text: str) -> str:
    """Return an IP address unchanged, or raise ValueError."""
    ipaddress.ip_address(text)
    return text


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a node."""
    return re.fullmatch(_NAME_PATTERN, text) is not None


def parse_endpoints(text: object) -> object:
    """Split a comma-separated list of ``IP:port`` into a tuple."""
    if isinstance(text, str):
        return tuple(part.strip() for part in text.split(",") if part.strip())
    return text


def check_endpoint(text: str) -> str:
    """Return ``IP:port`` unchanged, or raise ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("expected IP:port")
    check_ip(host.strip("[]"))
    return text


def check_url(text: str) -> str:
    """Return ``http[s]://IP[:port]`` unchanged, or raise ValueError."""
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or parts.path or parts.query:
        raise ValueError("expected http[s]://IP[:port]")
    check_ip(parts.hostname or "")
    if parts.port == 0:  # reading the port raises ValueError above 65535
        raise ValueError("expected a port from 1 to 65535")
    return text


IpAddress = Annotated[str, pydantic.AfterValidator(check_ip)]
Url = Annotated[str, pydantic.AfterValidator(check_url)]
Endpoint = Annotated[str, pydantic.AfterValidator(check_endpoint)]
LogLevel = Literal["debug", "info", "notice", "warning", "error"]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]  # 0: the system chooses
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
Name = Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class NodeSettings:
    """Identity and location of this node."""

    name: Name  # unique among the user's entry nodes
    data_centre: Name
    region: Name = "default"
    stop_limit_s: Seconds = 60.0  # longest wait for in-flight requests at a stop


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class CallersSettings:
    """HTTP port for callers."""

    address: IpAddress
    port: Port
    max_body_bytes: int = pydantic.Field(default=_MIB, ge=1, le=64 * _MIB)
    max_header_bytes: int = pydantic.Field(default=16_384, ge=1024, le=_MIB)
    idle_timeout_s: Seconds = 75.0
    max_connections: int = pydantic.Field(default=2_000, ge=1, le=100_000)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class AdminSettings:
    """HTTP port for operators, metrics and health checks."""

    address: IpAddress
    port: Port
    max_body_bytes: int = pydantic.Field(default=4 * _MIB, ge=1, le=64 * _MIB)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class PeersSettings:
    """gRPC port for other entry nodes."""

    address: IpAddress
    port: Port
    seeds: Annotated[
        tuple[Endpoint, ...], pydantic.BeforeValidator(parse_endpoints)
    ] = ()
    heartbeat_interval_s: Seconds = 0.5
    missed_heartbeats: int = pydantic.Field(default=3, ge=1, le=100)
    max_message_bytes: int = pydantic.Field(default=4 * _MIB, ge=1024, le=64 * _MIB)
    tls_certificate: pathlib.Path | None = None  # PEM; all three keys or none
    tls_key: pathlib.Path | None = None
    tls_authority: pathlib.Path | None = None


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class LogSettings:
    """The platform's log service."""

    url: Url
    request_timeout_s: Seconds = 2.0
    poll_wait_s: Seconds = 1.0  # longest wait of one read for new records
    batch_delay_s: float = pydantic.Field(default=0.005, ge=0.0, le=1.0)
    snapshot_interval_s: Seconds = 300.0


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class PlatformSettings:
    """The platform's host list and host actions."""

    url: Url
    request_timeout_s: Seconds = 2.0
    poll_interval_s: Seconds = 1.0
    planning_interval_s: Seconds = 1.0  # time between rounds of waves and capacity


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class TelemetrySettings:
    """Logs and traces."""

    log_level: LogLevel = "info"
    trace_exporter: Literal["none", "log", "otlp"] = "none"
    otlp_endpoint: str | None = None


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Settings:
    """All settings of an entry node, one attribute for each INI section."""

    node: NodeSettings
    callers: CallersSettings
    admin: AdminSettings
    peers: PeersSettings
    log: LogSettings
    platform: PlatformSettings
    telemetry: TelemetrySettings = dataclasses.field(default_factory=TelemetrySettings)


class SettingError(errors.ClementinesparError):
    """A setting that is missing, unknown or invalid."""

    section: str  # INI section, empty for an error of the whole file
    key: str  # key within the section, empty for an error of the whole section
    value: str  # value as written, empty if it is missing
    expected: str  # description of a valid value

    def __init__(
        self,
        code: codes.ResultCode,
        section: str,
        key: str,
        value: str,
        expected: str,
    ) -> None:
        location = f"[{section}] {key}".strip() if section else "file"
        assignment = f" = {value!r}" if value else ""
        super().__init__(code, f"{location}{assignment}: {expected}")
        self.section = section
        self.key = key
        self.value = value
        self.expected = expected


def read_sections(path: pathlib.Path) -> dict[str, dict[str, str]]:
    """Return the values of an INI file, as written, by section and key.

    Raises
    ------
    ExceptionGroup
        Of one `SettingError`, if the file cannot be read.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise ExceptionGroup(
            f"settings in {path} cannot be read",
            [
                SettingError(
                    codes.ResultCode.SETTINGS_UNREADABLE, "", "", "", str(error)
                )
            ],
        ) from error
    return {section: dict(parser[section]) for section in parser.sections()}


def list_problems(error: pydantic.ValidationError) -> list[SettingError]:
    """Return one error for each invalid section, key or value."""
    return [_setting_error(detail) for detail in error.errors()]


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate an INI file.

    Parameters
    ----------
    path : pathlib.Path
        The INI file.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    ExceptionGroup
        One `SettingError` for each invalid section, key or value.
    """
    values = read_sections(path)
    problems = list(_combination_problems(values))
    try:
        settings = pydantic.TypeAdapter(Settings).validate_python(values)
    except pydantic.ValidationError as error:
        problems = list_problems(error) + problems
    else:
        if not problems:
            return settings
    raise ExceptionGroup(f"settings in {path} are not valid", problems)


def _combination_problems(
    values: Mapping[str, Mapping[str, str]],
) -> Iterator[SettingError]:
    """Yield errors of settings that are invalid in combination.

    Checks the values as written, so that these errors are reported together with those
    of single values.
    """
    peers = values.get("peers", {})
    uses_tls = any(key in peers for key in _TLS_KEYS)
    for key in _TLS_KEYS:
        value = peers.get(key, "")
        if uses_tls and key not in peers:
            yield SettingError(
                codes.ResultCode.SETTING_MISSING,
                "peers",
                key,
                "",
                f"required: {', '.join(_TLS_KEYS)} must be set together or not at all",
            )
        elif uses_tls and not pathlib.Path(value).is_file():
            yield SettingError(
                codes.ResultCode.SETTING_INVALID,
                "peers",
                key,
                value,
                "expected the path of a file on this host",
            )
    telemetry = values.get("telemetry", {})
    if telemetry.get("trace_exporter") == "otlp" and not telemetry.get("otlp_endpoint"):
        yield SettingError(
            codes.ResultCode.SETTING_MISSING,
            "telemetry",
            "otlp_endpoint",
            "",
            "required when trace_exporter is otlp",
        )
    if peers.get("address") in ("0.0.0.0", "::"):
        yield SettingError(
            codes.ResultCode.SETTING_INVALID,
            "peers",
            "address",
            peers["address"],
            "expected the IP address at which the other nodes reach this one",
        )
    section_by_endpoint: dict[tuple[str, str], str] = {}
    for section in ("callers", "admin", "peers"):
        endpoint = (
            values.get(section, {}).get("address", ""),
            values.get(section, {}).get("port", "0"),
        )
        other = section_by_endpoint.setdefault(endpoint, section)
        if other != section and endpoint[1] != "0":
            yield SettingError(
                codes.ResultCode.SETTING_INVALID,
                section,
                "port",
                endpoint[1],
                f"expected a different port; [{other}] has the same address and port",
            )


_TLS_KEYS = ("tls_certificate", "tls_key", "tls_authority")

_CODES_BY_ERROR_TYPE = {
    "missing": codes.ResultCode.SETTING_MISSING,
    "unexpected_keyword_argument": codes.ResultCode.SETTING_UNKNOWN,
}

_EXPECTED_BY_ERROR_TYPE = {
    "missing": "required",
    "unexpected_keyword_argument": "unknown name; correct or remove it",
}


def _setting_error(detail: pydantic_core.ErrorDetails) -> SettingError:
    location = [str(part) for part in detail["loc"]]
    code = _CODES_BY_ERROR_TYPE.get(detail["type"], codes.ResultCode.SETTING_INVALID)
    value = detail["input"]
    is_scalar = isinstance(value, str | int | float)
    expected = _EXPECTED_BY_ERROR_TYPE.get(
        detail["type"], detail["msg"].removeprefix("Value error, ")
    )
    if value == "":
        expected = f"the value is empty: {expected}"
    return SettingError(
        code,
        location[0] if location else "",
        location[1] if len(location) > 1 else "",
        str(value) if is_scalar else "",
        expected,
    )
