"""Builders of routers with subsets."""

from random import Random

from catkinslip.config.documents import Backend, Service
from catkinslip.routing.base import AttemptResult, LoadReport, ResultKind
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.sample import Sample
from catkinslip.routing.subset import Subset

ZONES = ('zone-a', 'zone-b', 'zone-c')
SLOTS = 2
#: Instances in a large fleet.
MANY = 100


def backends_of_zones(count: int) -> dict[str, Backend]:
    """Return servers spread over the zones, by ID."""
    return {f'limits-{number}': backend(number) for number in range(count)}


def backend(number: int, **fields: object) -> Backend:
    """Return the entry of one server."""
    return Backend('limits', ZONES[number % 3], '127.0.0.1', 1 + number, **fields)


def subset_router(
    number: int = 0, servers: int = 220, instances: int = MANY
) -> ServiceRouter:
    """Return the router of an instance of a fleet with subsets."""
    zone = ZONES[number % 3]
    subset = Subset(
        f'entry-{number}',
        zone,
        'limits',
        is_enabled=True,
        count_instances=lambda: instances,
    )
    policy = ExpectedDelay(Random(number), zone)
    sample = Sample(Random(number), zone)
    router = ServiceRouter(policy, sample=sample, subset=subset)
    router.update(Service(SLOTS), backends_of_zones(servers))
    return router


def used_ids(router: ServiceRouter, now: float) -> set[str]:
    """Return the IDs of the servers in the subset of a router."""
    return {load.backend_id for load in router.subset.servers((), now)}


def send(router: ServiceRouter, count: int, now: float) -> list[str]:
    """Choose a server for each of some requests, and start them."""
    ids = []
    for _ in range(count):
        backend_id = router.choose(now).backend_id
        router.started(backend_id, now)
        ids.append(backend_id)
    return ids


def end(
    router: ServiceRouter, ids: list[str], now: float, seconds: float = 0.1
) -> None:
    """End requests with answers of idle servers."""
    for backend_id in ids:
        result = AttemptResult(ResultKind.ANSWERED, seconds, LoadReport(0, 1.0))
        router.finished(backend_id, result, now)
