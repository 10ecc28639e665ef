"""Checks of a document for an operator's likely mistakes.

The document model rejects what no node could act on. It is part of the fold of the log,
so a document that one version accepted must stay valid in later versions. The checks
here run only before publication and may therefore become stricter in later versions.
"""

from collections.abc import Iterator

from clementinespar.documents import model


def find_likely_mistakes(document: model.Document) -> list[model.Problem]:
    """Return problems that the model accepts but that are likely mistakes."""
    return [
        *_maintenance_problems(document),
        *_capacity_problems(document),
        *_service_problems(document),
    ]


def max_hosts_out(document: model.Document, pool_name: str) -> int:
    """Return how many hosts of a complete pool its budget allows out at once."""
    pool = document.pools[pool_name]
    count_by_rack: dict[tuple[str, str], int] = {}
    for host_id in pool.host_ids:
        host = document.hosts[host_id]
        rack_key = (host.data_centre, host.rack)
        count_by_rack[rack_key] = count_by_rack.get(rack_key, 0) + 1
    out_by_data_centre: dict[str, int] = {}
    for (data_centre, _), count in count_by_rack.items():
        out_by_data_centre[data_centre] = out_by_data_centre.get(data_centre, 0) + min(
            count, pool.budget.max_out_per_rack
        )
    within_domains = sum(
        min(out, pool.budget.max_out_per_data_centre)
        for out in out_by_data_centre.values()
    )
    return max(0, min(within_domains, len(pool.host_ids) - pool.budget.min_available))


def _maintenance_problems(document: model.Document) -> Iterator[model.Problem]:
    if document.maintenance.paused:
        return
    for name, pool in document.pools.items():
        if pool.host_ids and max_hosts_out(document, name) == 0:
            yield model.Problem(
                f"pools.{name}.budget.min_available",
                str(pool.budget.min_available),
                f"fewer than the pool's {len(pool.host_ids)} hosts; otherwise none can "
                "be taken out for maintenance (or set maintenance.paused)",
            )
    # A wave takes its hosts out one by one within the budget, so it may include more
    # hosts than may be out at once.
    largest = max((len(pool.host_ids) for pool in document.pools.values()), default=0)
    if 0 < largest < document.maintenance.max_wave_hosts:
        yield model.Problem(
            "maintenance.max_wave_hosts",
            str(document.maintenance.max_wave_hosts),
            f"at most {largest}, the number of hosts in the largest pool",
        )


def _capacity_problems(document: model.Document) -> Iterator[model.Problem]:
    for name, pool in document.pools.items():
        if len(pool.host_ids) > pool.max_hosts:
            yield model.Problem(
                f"pools.{name}.max_hosts",
                str(pool.max_hosts),
                f"at least {len(pool.host_ids)}, the number of hosts of the pool",
            )
        if 0 < len(pool.host_ids) < pool.min_hosts:
            yield model.Problem(
                f"pools.{name}.min_hosts",
                str(pool.min_hosts),
                f"at most {len(pool.host_ids)}, the number of hosts of the pool",
            )


def _service_problems(document: model.Document) -> Iterator[model.Problem]:
    for name, service in document.services.items():
        if not service.kinds:
            yield model.Problem(
                f"services.{name}.kinds", "", "at least one kind of request"
            )
        for kind_name, kind in service.kinds.items():
            if kind.declared_run_ms > service.max_deadline_ms:
                yield model.Problem(
                    f"services.{name}.kinds.{kind_name}.declared_run_ms",
                    str(kind.declared_run_ms),
                    f"at most max_deadline_ms, {service.max_deadline_ms}; every "
                    "request would be refused",
                )
        if service.slots_per_target > service.connections_per_target:
            yield model.Problem(
                f"services.{name}.connections_per_target",
                str(service.connections_per_target),
                f"at least slots_per_target, {service.slots_per_target}",
            )
