"""Builders of the users' platform's settings file and objects."""

SETTINGS = """
node = "edge-1"
zone = "zone-a"
region = "region-1"
ip = "127.0.0.1"
internal_port_range = [{report}, {report}]
seeds = ["127.0.0.1:{peer}"]
bounds = ["grace_s=6","ttl_max_s=5","probes_per_s=60","retry_budget_ratio=0.2","retry_budget_slack=58","drain_whole=true"{bounds}]
[zones]
{zones}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{peer}"
directory = "127.0.0.1:{directory}"
[platform]
addr = "127.0.0.1:{store}"
"""  # noqa: E501 - the platform writes long lines


def settings_text(**ports: object) -> str:
    """Return the text of a settings file, with distinct defaults for the ports.

    `bounds` is appended to the list of that name and starts with a comma.
    """
    names = ('front', 'ready', 'peer', 'directory', 'store', 'report')
    defaults = {name: 7000 + number for number, name in enumerate(names)}
    fields = {'bounds': '', 'zones': 'zone-a = "region-1"'}
    return SETTINGS.format(**{**fields, **defaults, **ports})


def server_item(
    name: str,
    service: str,
    port: int,
    state: str = 'ready',
    slots: int = 2,
    zone: str = 'zone-a',
    cold_left_s: object = 0,
    **spec: object,
) -> dict:
    """Return the object of a registered server, with any further fields in its spec."""
    return {
        'metadata': {'name': name, 'revision': 1},
        'spec': {
            **spec,
            'addr': f'127.0.0.1:{port}',
            'info': {
                'service': service,
                'version': 'v1',
                'zone': zone,
                'slots': slots,
            },
        },
        'status': {'state': state, 'seq': 4, 'cold_left_s': cold_left_s},
    }


def instance_item(name: str) -> dict:
    """Return the object of one catkinslip instance."""
    spec = {
        'instance_id': name,
        'zone': 'zone-a',
        'region': 'region-1',
        'caller_address': '127.0.0.1:80',
        'peer_address': '127.0.0.1:90',
        'report_address': '127.0.0.1:91',
        'cores': 2.0,
    }
    return {'metadata': {'name': name, 'revision': 3}, 'spec': spec}


ROUTE_COLUMNS = [
    'name',
    'host',
    'path_prefix',
    'kind',
    'timeout_s',
    'target_latency_s',
    'priority',
    'split',
    'max_attempts',
    'service',
]


def config_spec(
    version: str = '0000000a',
    timeout: float = 1.5,
    cold_per_s: float | None = None,
    target: float = 0.3,
    tenants: object = None,
) -> dict:
    """Return a configuration with one split route and one plain route.

    `tenants` is the table of workspaces, which is left out if it is None.
    """
    split = [{'service': 'one', 'weight': 90}, {'service': 'two', 'weight': 10}]
    rows = [
        ['r1', 'a.example', '/q/', 'idempotent', timeout, 0.25, 2, split, 2, None],
        [
            'r2',
            'a.example',
            '/p/',
            'non_idempotent',
            timeout,
            target,
            1,
            None,
            2,
            'one',
        ],
    ]
    columns = ['name', 'health_path', 'max_conns', 'protocol', 'tls']
    services = [[name, '/healthz', 220, 'h1', False] for name in ('one', 'two')]
    if cold_per_s is not None:
        columns += ['cold_s', 'cold_per_s']
        services = [[*row, 3.0, cold_per_s] for row in services]
    table = {} if tenants is None else {'tenants': tenants}
    return {
        **table,
        'version': version,
        'routes': {'columns': ROUTE_COLUMNS, 'rows': rows},
        'services': {'columns': columns, 'rows': services},
        'limits': {'max_header_bytes': 16384, 'idle_timeout_s': 15},
    }


def config_item(**fields: object) -> dict:
    """Return an object with the operators' configuration."""
    return {'metadata': {'name': 'main', 'revision': 2}, 'spec': config_spec(**fields)}
