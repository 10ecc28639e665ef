"""Small documents for the demo, derived from the example documents of both users."""

import dataclasses
import json
import pathlib

from clementinespar.documents import loading, model

_EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
HOSTS_PER_POOL = 4
MIN_AVAILABLE = 2  # allows one host in a wave and one failed rack at once


def small_document(name: str) -> model.Document:
    """Return an example with four hosts in each pool and all waves paused."""
    full = loading.load_document(_EXAMPLES / f"{name}.toml")
    pools = {
        pool_name: dataclasses.replace(
            pool,
            host_ids=_spread_over_data_centres(full, pool.host_ids),
            budget=model.Budget(
                min_available=MIN_AVAILABLE,
                max_out_per_rack=1,
                max_out_per_data_centre=2,
            ),
            min_hosts=3,
            max_hosts=HOSTS_PER_POOL + 2,
        )
        for pool_name, pool in full.pools.items()
    }
    kept_host_ids = {host_id for pool in pools.values() for host_id in pool.host_ids}
    return dataclasses.replace(
        full,
        hosts={i: host for i, host in full.hosts.items() if i in kept_host_ids},
        pools=pools,
        maintenance=dataclasses.replace(
            full.maintenance, max_wave_hosts=2, survive="rack", paused=True
        ),
    )


def with_moved_host(document: model.Document) -> tuple[model.Document, str, str]:
    """Move a host from the spare pool to the first other one.

    Returns
    -------
    tuple of (model.Document, str, str)
        The new document, the host and its new pool.
    """
    spare = next(name for name, pool in document.pools.items() if pool.spare)
    pool = next(name for name in document.pools if name != spare)
    host_id = document.pools[spare].host_ids[-1]
    pools = dict(document.pools)
    pools[spare] = dataclasses.replace(
        pools[spare],
        host_ids=tuple(i for i in pools[spare].host_ids if i != host_id),
    )
    pools[pool] = dataclasses.replace(
        pools[pool], host_ids=(*pools[pool].host_ids, host_id)
    )
    return dataclasses.replace(document, pools=pools), host_id, pool


def with_waves(document: model.Document, is_running: bool) -> model.Document:
    """Return the document with maintenance waves running or paused."""
    return dataclasses.replace(
        document,
        maintenance=dataclasses.replace(document.maintenance, paused=not is_running),
    )


def write(document: model.Document, path: pathlib.Path) -> None:
    """Write a document as TOML, as an operator would."""
    lines: list[str] = []
    _write_table("", loading.dump_document(document), lines)
    path.write_text("\n".join(lines) + "\n")


def _spread_over_data_centres(
    document: model.Document, host_ids: tuple[str, ...]
) -> tuple[str, ...]:
    """Return up to `HOSTS_PER_POOL` hosts, in as many data centres as possible."""
    counts_by_data_centre: dict[str, int] = {}
    ranked: list[tuple[int, str]] = []
    for host_id in host_ids:
        data_centre = document.hosts[host_id].data_centre
        ranked.append((counts_by_data_centre.get(data_centre, 0), host_id))
        counts_by_data_centre[data_centre] = (
            counts_by_data_centre.get(data_centre, 0) + 1
        )
    ranked.sort(key=lambda pair: pair[0])
    return tuple(host_id for _, host_id in ranked[:HOSTS_PER_POOL])


def _write_table(name: str, values: dict[str, object], lines: list[str]) -> None:
    if name:
        lines.append(f"\n[{name}]")
    tables: dict[str, dict[str, object]] = {}
    for key, value in values.items():
        if isinstance(value, dict):
            tables[key] = value
        elif value is not None:  # TOML has no null: keys without a value are omitted
            # JSON strings, numbers, booleans and arrays of these are valid TOML.
            lines.append(f"{json.dumps(key)} = {json.dumps(value)}")
    for key, table in tables.items():
        quoted = json.dumps(key)
        _write_table(f"{name}.{quoted}" if name else quoted, table, lines)
