"""Tests of the settings of a node."""

import pathlib

import pytest

from clementinespar import codes, options

_VALID = {
    "node": {"name": "n1", "data_centre": "dc-a"},
    "callers": {"address": "127.0.0.1", "port": "8000"},
    "admin": {"address": "127.0.0.1", "port": "8001"},
    "peers": {"address": "::1", "port": "8002", "seeds": "10.0.0.1:1, [::1]:2"},
    "log": {"url": "http://127.0.0.1:9000"},
    "platform": {"url": "http://[::1]:9001"},
}
_C = codes.ResultCode


def _write(path: pathlib.Path, changes: dict[str, dict[str, str | None]]) -> None:
    """Write the valid settings with changes; None removes a key."""
    lines: list[str] = []
    for section in [*_VALID, *(s for s in changes if s not in _VALID)]:
        lines.append(f"[{section}]")
        values = {**_VALID.get(section, {}), **changes.get(section, {})}
        lines += [f"{k} = {v}" for k, v in values.items() if v is not None]
    path.write_text("\n".join(lines))


def _problems(path: pathlib.Path) -> list[tuple[codes.ResultCode, str, str, str]]:
    with pytest.raises(ExceptionGroup) as caught:
        options.load_settings(path)
    found = []
    for error in caught.value.exceptions:
        assert isinstance(error, options.SettingError)
        assert error.expected
        found.append((error.code, error.section, error.key, error.value))
    return found


def test_valid_settings_are_read(tmp_path: pathlib.Path) -> None:
    """Guards against a valid file being refused, or a list not being split."""
    _write(tmp_path / "node.ini", {})
    settings = options.load_settings(tmp_path / "node.ini")
    assert settings.peers.seeds == ("10.0.0.1:1", "[::1]:2")
    assert settings.callers.port == 8000


@pytest.mark.parametrize(
    ("section", "key", "value", "code"),
    [
        ("node", "name", None, _C.SETTING_MISSING),
        ("node", "name", "a b", _C.SETTING_INVALID),
        ("node", "nmae", "x", _C.SETTING_UNKNOWN),
        ("node", "stop_limit_s", "0", _C.SETTING_INVALID),
        ("callers", "address", "localhost", _C.SETTING_INVALID),
        ("callers", "port", "65536", _C.SETTING_INVALID),
        ("callers", "port", "", _C.SETTING_INVALID),
        ("admin", "port", "8000", _C.SETTING_INVALID),  # same as the callers' port
        ("peers", "address", "0.0.0.0", _C.SETTING_INVALID),
        ("peers", "seeds", "10.0.0.1", _C.SETTING_INVALID),
        ("peers", "seeds", "peer:80", _C.SETTING_INVALID),
        ("log", "url", "http://log:80", _C.SETTING_INVALID),
        ("log", "url", "http://10.0.0.1:80/path", _C.SETTING_INVALID),
        ("log", "url", "http://10.0.0.1:0", _C.SETTING_INVALID),
        ("log", "url", "http://10.0.0.1:70000", _C.SETTING_INVALID),
        ("log", "batch_delay_s", "-1", _C.SETTING_INVALID),
        ("platform", "url", "ftp://10.0.0.1", _C.SETTING_INVALID),
        ("telemetry", "log_level", "loud", _C.SETTING_INVALID),
        ("telemetry", "trace_exporter", "otlp", _C.SETTING_MISSING),
        ("colours", "red", "1", _C.SETTING_UNKNOWN),
    ],
)
def test_each_bad_setting_is_named_with_its_code(
    tmp_path: pathlib.Path,
    section: str,
    key: str,
    value: str | None,
    code: codes.ResultCode,
) -> None:
    """Guards against an invalid setting being accepted or another one being named."""
    _write(tmp_path / "node.ini", {section: {key: value}})
    (problem,) = _problems(tmp_path / "node.ini")
    assert problem[0] == code
    assert problem[1] == section
    if section == "colours":
        assert problem[2] == ""
    elif value == "otlp":
        assert problem[2] == "otlp_endpoint"
    else:
        assert problem[2].split(".")[0] == key


def test_all_problems_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against combinations being checked only when all values are valid."""
    _write(
        tmp_path / "node.ini",
        {
            "node": {"data_centre": None},
            "callers": {"port": "x"},
            "admin": {"colour": "red"},
            "peers": {"tls_key": "/nowhere/key.pem"},
            "telemetry": {"trace_exporter": "otlp"},
        },
    )
    assert _problems(tmp_path / "node.ini") == [
        (_C.SETTING_MISSING, "node", "data_centre", ""),
        (_C.SETTING_INVALID, "callers", "port", "x"),
        (_C.SETTING_UNKNOWN, "admin", "colour", "red"),
        (_C.SETTING_MISSING, "peers", "tls_certificate", ""),
        (_C.SETTING_INVALID, "peers", "tls_key", "/nowhere/key.pem"),
        (_C.SETTING_MISSING, "peers", "tls_authority", ""),
        (_C.SETTING_MISSING, "telemetry", "otlp_endpoint", ""),
    ]


@pytest.mark.parametrize(
    "content", [b"\xff\xfe", b"key = 1", b"[a]\n[a]\n", b"[a]\nb=1\nb=2\n", None]
)
def test_file_that_is_not_ini_is_unreadable(
    tmp_path: pathlib.Path, content: bytes | None
) -> None:
    """Guards against a traceback for a missing or malformed file."""
    path = tmp_path / "node.ini"
    if content is not None:
        path.write_bytes(content)
    assert [p[0] for p in _problems(path)] == [_C.SETTINGS_UNREADABLE]
