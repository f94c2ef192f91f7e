"""Generated registers of backend servers for tests and benchmarks."""


def many_workers(workers: int, services: int, zones: int = 16) -> dict:
    """Return a configuration document with a number of servers and services."""
    backends = {
        f'worker-{number:05d}': {
            'service': f'service-{number % services}',
            'zone': f'region-{number % zones // 4}-zone-{number % zones}',
            'host': f'10.{number // 65_536}.{number // 256 % 256}.{number % 256}',
            'port': 8080,
        }
        for number in range(workers)
    }
    names = {f'service-{number}': {} for number in range(services)}
    return {'register': {'services': names, 'backends': backends}}
