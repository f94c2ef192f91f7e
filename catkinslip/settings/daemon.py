"""The checked settings of the daemon and the checks across settings."""

from attrs import field, frozen


@frozen
class DaemonSettings:
    """Checked settings of one daemon; durations are in seconds."""

    instance_id: str
    zone: str
    region: str
    listen_host: str
    listen_port: int
    control_host: str
    control_port: int
    shared_secret: str = field(repr=False)
    platform_url: str
    platform_timeout: float
    platform_budget: float
    max_instances: int
    seeds: tuple[str, ...]
    peer_interval: float
    address_lifetime: float
    min_home_instances: int
    max_home_instances: int
    request_timeout: float
    drain_timeout: float
    policy: str
    report_memory: float
    zone_hop: float
    server_subsets: str
    key_lifetime: float
    key_capacity: int
    head_timeout: float
    body_timeout: float
    idle_timeout: float
    max_body_bytes: int
    max_callers: int
    max_pipelined_requests: int
    max_pipelined_bytes: int
    max_instance_pipelined_bytes: int
    queue_depth: float
    deadline_margin: float
    extra_share: float
    extra_reserve: float
    max_attempts: int
    hedge_percentile: float
    log_level: str


def check_combinations(settings: DaemonSettings) -> tuple[str, ...]:
    """Return a sentence for each pair of settings that cannot be used together."""
    mistakes = []
    port = settings.listen_port
    if port and (settings.listen_host, port) == (
        settings.control_host,
        settings.control_port,
    ):
        mistakes.append(
            '--listen-port (CATKINSLIP_LISTEN_PORT) and --control-port '
            f'(CATKINSLIP_CONTROL_PORT) are both {port} on {settings.listen_host}; '
            'callers and operators need separate listeners.'
        )
    if settings.key_lifetime <= settings.address_lifetime:
        mistakes.append(
            f'--key-lifetime (CATKINSLIP_KEY_LIFETIME) of {settings.key_lifetime:g} '
            'seconds must be above --address-lifetime (CATKINSLIP_ADDRESS_LIFETIME) '
            f'of {settings.address_lifetime:g}; callers would use expired keys.'
        )
    if settings.drain_timeout < settings.request_timeout:
        mistakes.append(
            f'--drain-timeout (CATKINSLIP_DRAIN_TIMEOUT) of {settings.drain_timeout:g} '
            'seconds must be at least --request-timeout (CATKINSLIP_REQUEST_TIMEOUT) '
            f'of {settings.request_timeout:g}; a stop would abort requests.'
        )
    if settings.max_instance_pipelined_bytes < settings.max_pipelined_bytes:
        mistakes.append(
            '--max-instance-pipelined-bytes (CATKINSLIP_MAX_INSTANCE_PIPELINED_BYTES) '
            f'of {settings.max_instance_pipelined_bytes} bytes must be at least '
            '--max-pipelined-bytes (CATKINSLIP_MAX_PIPELINED_BYTES) of '
            f'{settings.max_pipelined_bytes}; one connection would use it all.'
        )
    return tuple(mistakes)
