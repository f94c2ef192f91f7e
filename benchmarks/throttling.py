"""Time a choice among 564 servers where none, a third or all name a rate.

    python -m benchmarks.throttling

The median of some rounds, in microseconds a choice, for an instance that may send to a
fifth of them and for one that may send to none.
"""

import json
import statistics
import time
from random import Random

from catkinslip.config.documents import Backend, Service
from catkinslip.routing.base import LoadReport
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.sample import Sample
from catkinslip.throttling.gate import ThrottleGate
from catkinslip.throttling.shares import divide_rate
from catkinslip.throttling.signals import AnswerKind, RateSignal
from catkinslip.warmup.quotas import Sender
from catkinslip.warmup.senders import SenderPosition

SERVERS = 564
ZONES = ('a', 'b', 'c', 'd', 'e')
SLOTS = 3
ROUNDS = 9
CHOICES = 200
PER_SECOND = 1.2
NOW = 1000.0


def make_router(in_need: int, place: SenderPosition | None) -> ServiceRouter:
    """Return the servers of one service, of which some name a rate."""
    random = Random(1)
    gate = ThrottleGate(
        lambda load, rate: divide_rate(rate, load.backend_id, load.zone, ZONES),
        lambda: place,
    )
    policy = ExpectedDelay(random, ZONES[0])
    sample = Sample(random, ZONES[0])
    router = ServiceRouter(policy, sample=sample, throttle=gate)
    backend_by_id = {
        f'i-{n}': Backend(
            'one', zone=ZONES[n % len(ZONES)], host='10.0.0.1', port=n + 1
        )
        for n in range(SERVERS)
    }
    router.update(Service(SLOTS), backend_by_id, NOW)
    for number, load in enumerate(router.loads):
        router.apply_peer_report(
            load.backend_id, LoadReport(random.randrange(SLOTS), 1.0), NOW
        )
        if number < in_need:
            sign = RateSignal(PER_SECOND)
            gate.registry.apply_answer(load, sign, AnswerKind.ANSWER, NOW, NOW)
    return router


def time_choice(router: ServiceRouter) -> float:
    """Return the microseconds that a choice takes."""
    rounds = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for step in range(CHOICES):
            router.choose(NOW + step / 1000)
        rounds.append((time.perf_counter() - began) / CHOICES * 1e6)
    return statistics.median(rounds)


def main() -> None:
    """Print a row for each share of servers in need."""
    rows = []
    for in_need in (0, SERVERS // 3, SERVERS):
        for place in (None, SenderPosition(Sender('a', 0), is_recent=True)):
            microseconds = round(time_choice(make_router(in_need, place)))
            who = 'a sender' if place else 'no sender'
            print(f'{in_need:4} of {SERVERS} in need, {who:9} {microseconds:6} us')
            rows.append({'in_need': in_need, 'sender': bool(place), 'us': microseconds})
    print(json.dumps({'bench': 'throttling', 'rows': rows}))


if __name__ == '__main__':
    main()
