"""Compare policies on real processes: three daemons an arm, shared servers.

    python -m benchmarks.fleet

Two of six servers turn slow and back every 100 ms. The arms take turns, so that
they meet the same machine. Latencies are in milliseconds; the last line is JSON.
"""

import json
import tempfile
from pathlib import Path

import httpx
import trio

from catkinslip.cli.application import run as run_tool
from catkinslip.models import Address
from standins.load import LoadCaller, Tally
from standins.processes import Process, ProcessGroup, wait_until

ARMS = ('random', 'two-choices', 'least-in-flight', 'expected-delay')
ROUNDS = 2
ROUND_SECONDS = 4.0
SHIFT_SECONDS = 0.1
SLOWDOWN = 5.0
SERVERS = 6
SLOTS = 2
CALLERS = 8


def main() -> None:
    """Start everything, load each arm in turn and print the table."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        servers = [start_server(group, number) for number in range(SERVERS)]
        addresses_by_arm = {arm: start_arm(group, arm, servers) for arm in ARMS}
        tally_by_arm = {arm: Tally() for arm in ARMS}
        for _ in range(ROUNDS):
            for arm in ARMS:
                addresses = addresses_by_arm[arm]
                trio.run(load_arm, addresses, tally_by_arm[arm], servers)
    show(tally_by_arm)


def start_server(group: ProcessGroup, number: int) -> Process:
    """Start one backend server."""
    return group.start_backend(
        f'limits-{number}', slots=SLOTS, service_time=0.02, exponential=True
    )


def start_arm(group: ProcessGroup, arm: str, servers: list[Process]) -> list[str]:
    """Start a platform and three daemons of one arm; return their addresses."""
    platform = group.start(f'platform-{arm}', 'standins.platform')
    url = f'http://{platform.address}'
    apply(group, url, servers)
    daemons = [
        group.start_daemon(f'{arm}-{number}', 'zone-a', platform_url=url, policy=arm)
        for number in range(3)
    ]
    for daemon in daemons:
        wait_until(lambda d=daemon: serves(d.address))
    return [each.address for each in daemons]


def apply(group: ProcessGroup, platform_url: str, servers: list[Process]) -> None:
    """Apply a register with all servers in one service."""
    backends = {}
    for each in servers:
        address = Address.parse(each.address)
        backends[each.name] = {
            'service': 'limits',
            'zone': 'zone-a',
            'host': address.host,
            'port': address.port,
        }
    register = {'services': {'limits': {'slots': SLOTS}}, 'backends': backends}
    path = group.folder / 'document.json'
    path.write_text(json.dumps({'register': register}))
    status = run_tool(['apply', str(path), '--platform-url', platform_url, '--quiet'])
    if status != 0:
        raise RuntimeError(f'apply ended with {status}')


def serves(address: str) -> bool:
    """Tell whether an instance has its configuration."""
    answer = httpx.get(f'http://{address}/', headers={'Host': 'limits'})
    return answer.status_code == 200


async def load_arm(ask: list[str], tally: Tally, servers: list[Process]) -> None:
    """Load one arm for one round while servers turn slow and back."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shift, servers, nursery.cancel_scope)
        for number in range(CALLERS):
            caller = LoadCaller(f'caller-{number}', 'limits', ask, tally)
            nursery.start_soon(caller.run, ROUND_SECONDS)


async def shift(servers: list[Process], scope: trio.CancelScope) -> None:
    """Turn two servers slow in turn, then fast again, until the round ends."""
    end = trio.current_time() + ROUND_SECONDS + 1
    async with httpx.AsyncClient() as client:
        turn = 0
        while trio.current_time() < end:
            for number, each in enumerate(servers):
                slow = number // 2 == turn % 3
                behaviour = {'slowdown': SLOWDOWN if slow else 1.0}
                url = f'http://{each.address}/standin/behaviour'
                await client.post(url, json=behaviour)
            turn += 1
            await trio.sleep(SHIFT_SECONDS)
    scope.cancel()


def show(tally_by_arm: dict[str, Tally]) -> None:
    """Print one row for each arm and the order by p99."""
    rows = []
    for arm, tally in tally_by_arm.items():
        p50, p99 = (
            tally.histogram.get_value_at_percentile(share) / 1000 for share in (50, 99)
        )
        count = tally.histogram.get_total_count()
        print(f'{arm:16} {count:6} requests  p50 {p50:6.1f}  p99 {p99:6.1f}')
        row = {'arm': arm, 'requests': count, 'p50': p50, 'p99': p99}
        rows.append({**row, 'wrong': tally.wrong, 'cut': tally.cut})
    order = [row['arm'] for row in sorted(rows, key=lambda row: row['p99'])]
    print('order by p99: ' + ', '.join(order))
    print(json.dumps({'bench': 'fleet', 'rows': rows, 'order': order}))


if __name__ == '__main__':
    main()
