"""Demo that runs a small system, injects faults and prints callers' outcomes."""

import json
import sys
import tempfile
from pathlib import Path

import httpx
import trio

from catkinslip.cli.application import run as run_tool
from catkinslip.models import Address
from standins.load import LoadCaller, Tally
from standins.processes import ProcessGroup, wait_until

ZONES = ('zone-a', 'zone-b', 'zone-c')
SECONDS = 8.0
SIZE_BY_SERVICE = {'limits': 6, 'claims': 3}
METHOD_BY_SERVICE = {'limits': 'GET', 'claims': 'POST'}
CALLERS = 4
CALLS_PER_PROBE = 100
#: Load probes per second; `claims` is measured only by the reports in its answers.
PROBES_BY_SERVICE = {'limits': 1.0, 'claims': 0.0}


def main() -> int:
    """Run the demo; return 0 if all checks passed."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        return run_demo(group)


def run_demo(group: ProcessGroup) -> int:
    """Start the system, run the load and report; return the exit status."""
    platform_url = f'http://{group.start_platform().address}'
    start_backends(group)
    apply(group, platform_url, document(group))
    daemons = [
        group.start_daemon(
            f'entry-{zone}',
            zone,
            platform_url=platform_url,
            max_instances=len(ZONES),
        )
        for zone in ZONES
    ]
    for daemon in daemons:
        wait_until(lambda d=daemon: is_ready(d.address))
    tally_by_service = trio.run(load, group, [each.address for each in daemons])
    return report(group, platform_url, tally_by_service)


def start_backends(group: ProcessGroup) -> None:
    """Start the backend servers of each service."""
    for service, size in SIZE_BY_SERVICE.items():
        for number in range(size):
            group.start_backend(
                f'{service}-{number}', service_time=0.005, exponential=True
            )


def document(group: ProcessGroup, draining: str = '') -> dict:
    """Return the configuration document for the group's backend servers."""
    backends = {}
    for name, process in group.process_by_name.items():
        service = name.partition('-')[0]
        if service not in SIZE_BY_SERVICE:
            continue
        address = Address.parse(process.address)
        backends[name] = {
            'service': service,
            'zone': ZONES[int(name.partition('-')[2]) % len(ZONES)],
            'host': address.host,
            'port': address.port,
            'draining': name == draining,
        }
    services = {
        service: {
            'slots': 5,
            'probes_per_second': PROBES_BY_SERVICE[service],
            'calls_per_probe': CALLS_PER_PROBE,
        }
        for service in SIZE_BY_SERVICE
    }
    return {'register': {'services': services, 'backends': backends}}


def apply(group: ProcessGroup, platform_url: str, plain: dict) -> None:
    """Apply a configuration document with the command-line tool."""
    path = group.folder / 'document.json'
    path.write_text(json.dumps(plain))
    status = run_tool(['apply', str(path), '--platform-url', platform_url])
    if status != 0:
        raise RuntimeError(f'apply of {path} failed with exit status {status}')


def is_ready(address: str) -> bool:
    """Return whether an instance answers a request with status 200."""
    answer = httpx.get(f'http://{address}/', headers={'Host': 'limits'})
    return answer.status_code == 200


async def load(group: ProcessGroup, instance_addresses: list[str]) -> dict[str, Tally]:
    """Send load to every service while one server is killed and one drained."""
    tally_by_service = {service: Tally() for service in SIZE_BY_SERVICE}
    async with trio.open_nursery() as nursery:
        for service, tally in tally_by_service.items():
            for number in range(CALLERS):
                caller = LoadCaller(
                    name=f'{service}-caller-{number}',
                    service=service,
                    instance_addresses=instance_addresses,
                    tally=tally,
                    method=METHOD_BY_SERVICE[service],
                )
                nursery.start_soon(caller.run, SECONDS)
        nursery.start_soon(inject_faults, group)
    return tally_by_service


async def inject_faults(group: ProcessGroup) -> None:
    """Kill one backend server and drain another while the load runs."""
    await trio.sleep(SECONDS / 3)
    group.process_by_name['limits-0'].kill()
    await trio.sleep(SECONDS / 3)
    platform_url = f'http://{group.process_by_name["platform"].address}'
    plain = document(group, draining='limits-1')
    await trio.to_thread.run_sync(apply, group, platform_url, plain)


def report(group: ProcessGroup, platform_url: str, tallies: dict[str, Tally]) -> int:
    """Print the results of each service; return 0 if all checks passed."""
    repeats = count_repeats(group)
    held = True
    for service, tally in tallies.items():
        latency = tally.histogram
        print(
            f'{service}: {latency.get_total_count()} requests, {tally.right} right, '
            f'{tally.wrong} wrong, {tally.not_run} not run, {tally.unknown} unknown, '
            f'{tally.cut} cut, {repeats[service]} repeats, '
            f'p50 {latency.get_value_at_percentile(50) / 1000:.1f} ms, '
            f'p99 {latency.get_value_at_percentile(99) / 1000:.1f} ms'
        )
        held = held and tally.right > 0 and not tally.wrong and not tally.cut
    calls = httpx.get(f'{platform_url}/standin/calls').json()
    held = report_probes(group, tallies) and held
    print(f'platform calls: {sum(calls.values())}, {calls}')
    held = held and repeats['claims'] == 0
    print('all checks passed' if held else 'some checks failed')
    return 0 if held else 1


def report_probes(group: ProcessGroup, tallies: dict[str, Tally]) -> bool:
    """Print the probes that servers counted; return whether all are in budget."""
    held = True
    for service, tally in tallies.items():
        calls = tally.histogram.get_total_count()
        probes = sum(ledger['probes'] for ledger in ledgers(group, service))
        most = calls / CALLS_PER_PROBE if PROBES_BY_SERVICE[service] else 0
        print(f'{service}: {probes} probes for {calls} calls, at most {most:.0f}')
        held = held and probes <= most
    return held


def ledgers(group: ProcessGroup, service: str) -> list[dict]:
    """Return the ledgers of a service's running servers."""
    return [
        httpx.get(f'http://{process.address}/standin/ledger').json()
        for name, process in group.process_by_name.items()
        if name.partition('-')[0] == service and process.popen.poll() is None
    ]


def count_repeats(group: ProcessGroup) -> dict[str, int]:
    """Return the number of repeated runs by service."""
    runs_by_request: dict[str, int] = {}
    for service in SIZE_BY_SERVICE:
        for ledger in ledgers(group, service):
            for request_id, runs in ledger['by_request'].items():
                runs_by_request[request_id] = runs_by_request.get(request_id, 0) + runs
    repeats = dict.fromkeys(SIZE_BY_SERVICE, 0)
    for request_id, runs in runs_by_request.items():
        service = request_id.partition('-')[0]
        if service in repeats:
            repeats[service] += runs - 1
    return repeats


if __name__ == '__main__':
    sys.exit(main())
