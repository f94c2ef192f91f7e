"""The settings of the daemon; their groups are the headings of its help."""

from catkinslip.settings.base import Option, number, one_of, whole_number
from catkinslip.settings.values import (
    addresses,
    http_url_or_empty,
    ipv4_address,
    required,
)

IDENTITY = 'Identity'
LISTENERS = 'Listeners'
PLATFORM = 'Platform'
PEERS = 'Peers'
REQUESTS = 'Requests'
ROUTING = 'Routing'
LIMITS = 'Limits'
LOGS = 'Logs'

POLICIES = (
    'expected-delay',
    'least-in-flight',
    'two-choices',
    'round-robin',
    'random',
)
LOG_LEVELS = ('debug', 'info', 'warning', 'error')

OPTIONS = (
    Option('--instance-id', '', required, 'Name of this instance.', IDENTITY),
    Option('--zone', '', required, 'Availability zone of this instance.', IDENTITY),
    Option('--region', 'default', required, 'Region of this instance.', IDENTITY),
    Option(
        '--listen-host',
        '127.0.0.1',
        ipv4_address,
        'IP number callers reach.',
        LISTENERS,
    ),
    Option(
        '--listen-port',
        '0',
        whole_number(0, 65535, '(a TCP port)'),
        'Port for callers; 0 lets the kernel choose.',
        LISTENERS,
    ),
    Option(
        '--control-host',
        '127.0.0.1',
        ipv4_address,
        'IP number that peers and operators reach.',
        LISTENERS,
    ),
    Option(
        '--control-port',
        '0',
        whole_number(0, 65535, '(a TCP port)'),
        'Port for peers and operators; 0 lets the kernel choose.',
        LISTENERS,
    ),
    Option(
        '--shared-secret',
        '',
        str,
        'Secret that peers and operators must present; a flag shows in the process '
        'list, so prefer the variable or the file.',
        LISTENERS,
        secret=True,
    ),
    Option(
        '--platform-url',
        '',
        http_url_or_empty,
        'URL of the object API; empty uses the embedded store.',
        PLATFORM,
    ),
    Option(
        '--platform-timeout',
        '2',
        number(0.05, 60, 'seconds'),
        'Seconds to wait for an answer of the platform.',
        PLATFORM,
    ),
    Option(
        '--platform-budget',
        '100',
        number(0.1, 100_000, 'calls a second'),
        'Calls a second to the platform, of all instances together.',
        PLATFORM,
    ),
    Option(
        '--max-instances',
        '20',
        whole_number(1, 100_000, 'instances'),
        'Most instances that run at once; each gets that part of a shared budget.',
        PLATFORM,
    ),
    Option(
        '--seeds',
        '',
        addresses,
        'Control addresses of some peers, host:port, separated by commas.',
        PEERS,
    ),
    Option(
        '--peer-interval',
        '1',
        number(0.05, 60, 'seconds'),
        'Seconds between two exchanges with peers.',
        PEERS,
    ),
    Option(
        '--address-lifetime',
        '10',
        number(0.1, 3600, 'seconds'),
        'Seconds that callers may keep an address answer.',
        REQUESTS,
    ),
    Option(
        '--min-home-instances',
        '3',
        whole_number(1, 64, 'instances'),
        'Least number of instances that share a service in a region.',
        REQUESTS,
    ),
    Option(
        '--max-home-instances',
        '5',
        whole_number(1, 64, 'instances'),
        'Greatest number of instances that share a service in a region.',
        REQUESTS,
    ),
    Option(
        '--request-timeout',
        '10',
        number(0.05, 3600, 'seconds'),
        'Most seconds for one request; its caller may ask for fewer.',
        REQUESTS,
    ),
    Option(
        '--drain-timeout',
        '30',
        number(0.1, 3600, 'seconds'),
        'Seconds that a stop waits for requests in flight; at least --request-timeout.',
        REQUESTS,
    ),
    Option(
        '--key-lifetime',
        '300',
        number(1, 86400, 'seconds'),
        'Seconds for which a key guards its request; the same on all instances.',
        REQUESTS,
    ),
    Option(
        '--key-capacity',
        '50000',
        whole_number(1, 10_000_000, 'keys'),
        'Keys that this instance remembers at once; more are refused.',
        REQUESTS,
    ),
    Option(
        '--head-timeout',
        '10',
        number(0.05, 3600, 'seconds'),
        'Seconds that a caller may take to send the head of a request.',
        REQUESTS,
    ),
    Option(
        '--body-timeout',
        '10',
        number(0.05, 3600, 'seconds'),
        'Seconds that a caller may take to send a small body.',
        REQUESTS,
    ),
    Option(
        '--idle-timeout',
        '75',
        number(0.05, 86400, 'seconds'),
        'Seconds that a connection of a caller may stay without a request.',
        REQUESTS,
    ),
    Option(
        '--max-body-bytes',
        str(64 << 20),
        whole_number(0, 1 << 40, 'bytes'),
        'Largest request body taken.',
        REQUESTS,
    ),
    Option(
        '--max-callers',
        '4096',
        whole_number(1, 1_000_000, 'connections'),
        'Most connections of callers at one time.',
        REQUESTS,
    ),
    Option(
        '--max-pipelined-requests',
        '1',
        whole_number(1, 64, 'requests'),
        'Most requests of one connection in flight at once; 1 turns pipelining off.',
        REQUESTS,
    ),
    Option(
        '--max-pipelined-bytes',
        str(256 << 10),
        whole_number(4096, 1 << 30, 'bytes'),
        'Most bytes of pipelined requests and held answers of one connection.',
        REQUESTS,
    ),
    Option(
        '--max-instance-pipelined-bytes',
        str(4 << 20),
        whole_number(64 << 10, 1 << 40, 'bytes'),
        'Most bytes of memory for pipelined requests of all connections.',
        REQUESTS,
    ),
    Option(
        '--policy',
        'expected-delay',
        one_of(*POLICIES),
        'Policy that chooses a backend server.',
        ROUTING,
    ),
    Option(
        '--report-memory',
        '0.03',
        number(0.001, 10, 'seconds'),
        'Seconds in which a load report loses two thirds of its weight.',
        ROUTING,
    ),
    Option(
        '--zone-hop',
        '0.001',
        number(0, 1, 'seconds'),
        'Seconds that a request to another zone takes longer.',
        ROUTING,
    ),
    Option(
        '--server-subsets',
        'off',
        one_of('on', 'off'),
        'Whether each instance of a large fleet uses a subset of the servers.',
        ROUTING,
    ),
    Option(
        '--queue-depth',
        '2',
        number(1, 100, '(requests per slot)'),
        'Requests in flight for each slot of a service before calls are refused.',
        LIMITS,
    ),
    Option(
        '--deadline-margin',
        '1',
        number(0, 20, '(service times)'),
        'Mean service times that must remain after the expected wait.',
        LIMITS,
    ),
    Option(
        '--extra-share',
        '5',
        number(0, 50, '% of calls'),
        'Most requests added by retries and hedges, in % of calls.',
        LIMITS,
    ),
    Option(
        '--extra-reserve',
        '10',
        number(1, 1000, 'requests'),
        'Most unused extra requests that a service saves up.',
        LIMITS,
    ),
    Option(
        '--max-attempts',
        '3',
        whole_number(1, 5, 'attempts'),
        'Most backend servers that one call is sent to.',
        LIMITS,
    ),
    Option(
        '--hedge-percentile',
        '99',
        number(0, 99.9, '% of latencies'),
        'Latency after which a repeatable call is hedged; 0 turns hedges off.',
        LIMITS,
    ),
    Option('--log-level', 'info', one_of(*LOG_LEVELS), 'Least severity logged.', LOGS),
)
