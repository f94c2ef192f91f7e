"""The program of an instance on the users' platform."""

import logging
from collections.abc import Mapping
from functools import partial

import trio
from returns.result import Failure, Success

from catkinslip.clock import LoopClock
from catkinslip.discovery.base import InstanceEntry
from catkinslip.entry import ListenAddresses, serve
from catkinslip.environment import Environment
from catkinslip.logs.buffer import LogBuffer
from catkinslip.logs.ends import report_end
from catkinslip.logs.flush import LogFlusher
from catkinslip.logs.setup import configure_buffered
from catkinslip.logs.writers import open_writer
from catkinslip.models import Address
from catkinslip.pages import PageServer
from catkinslip.platform import names
from catkinslip.platform.client import StoreClient
from catkinslip.platform.decoding import (
    decode_backend,
    decode_crash,
    decode_evacuation,
    decode_instance,
    decode_rules,
)
from catkinslip.platform.dialect import PlatformDialect
from catkinslip.platform.pages import PlatformPages
from catkinslip.platform.settings import PlatformSettings, read_settings_file
from catkinslip.platform.sources import KindSource
from catkinslip.platform.stored import StoredCrashes, StoredInstances
from catkinslip.status import ExitStatus
from catkinslip.wiring.entry import (
    Dependencies,
    Entry,
    EntrySettings,
    apply_settings,
    wire_entry,
)

#: The port of the metrics page; deploy/system.toml has the same number.
METRICS_PORT = 9464
METRICS_PORT_VARIABLE = 'CATKINSLIP_METRICS_PORT'
#: `off` turns the quotas of workspaces off.
QUOTAS_VARIABLE = 'CATKINSLIP_QUOTAS'
#: The lifetime of address answers. Callers may keep using an instance that has left
#: for three times as long.
ADDRESS_LIFETIME_SECONDS = 3.0
#: A request that is sent no later than this after SIGTERM may be left unfinished at the
#: end of the grace period; a later one that is passed on must be answered.
UNSURE_STOP_SECONDS = 3.0

log = logging.getLogger('lifecycle')


def main() -> int:
    """Read the settings, serve until a signal stops the process, return its status."""
    environment = Environment()
    match read_settings_file(environment.variables):
        case Failure(mistakes):
            for mistake in mistakes:
                print(f'settings: {mistake}', file=environment.stdout, flush=True)
            return ExitStatus.USAGE
        case Success(settings):
            buffer = configure_buffered('info')
            try:
                trio.run(run, settings, environment, buffer, clock=LoopClock())
            except Exception as error:
                report_end(error, environment.stdout)
                return ExitStatus.ERROR
    return ExitStatus.SUCCESS


async def run(
    settings: PlatformSettings, environment: Environment, buffer: LogBuffer
) -> None:
    """Serve and write the log until a signal stops the process."""
    flusher = LogFlusher(buffer, open_writer(environment.stdout))
    log.info('lifecycle: starting. instance=%s', settings.instance_id)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(flusher.run)
        client = StoreClient(settings.store_address)
        entry = make_entry(settings, environment, client, buffer)
        pages = PageServer(PlatformPages(entry.instances, entry.addresses).handlers())
        addresses = ListenAddresses(
            callers=settings.caller_address,
            peers=settings.peer_address,
            metrics=Address(settings.caller_address.host, metrics_port(environment)),
        )
        await serve(
            entry,
            addresses,
            {settings.ready_address: pages, settings.directory_address: pages},
            partial(reload, entry, environment),
        )
        nursery.cancel_scope.cancel()


def metrics_port(environment: Environment) -> int:
    """Return the port of the metrics page from its variable, or the default."""
    text = environment.variables.get(METRICS_PORT_VARIABLE, '')
    return int(text) if text.isdecimal() else METRICS_PORT


def make_entry(
    settings: PlatformSettings,
    environment: Environment,
    client: StoreClient,
    buffer: LogBuffer,
) -> Entry:
    """Return the components of this instance, connected to the platform's store."""
    dependencies = Dependencies(
        environment=environment,
        dialect=PlatformDialect(),
        rules=KindSource(
            client,
            names.CONFIG_KIND,
            decode_rules,
            names.MAIN_NAME,
            keeps_readable=True,
        ),
        backends=KindSource(client, names.SERVERS_KIND, decode_backend),
        instances=KindSource(client, names.INSTANCES_KIND, decode_instance),
        instance_registry=StoredInstances(client),
        crashes=KindSource(client, names.CRASHES_KIND, decode_crash),
        crash_store=StoredCrashes(client),
        evacuations=KindSource(client, names.EVACUATIONS_KIND, decode_evacuation),
        log_buffer=buffer,
        sources=(client,),
    )
    return wire_entry(
        entry_settings(settings, environment.variables),
        dependencies,
    )


def reads_quotas(variables: Mapping[str, str]) -> bool:
    """Return whether quotas are kept: unless the variable is `off`.

    Any other value than `on` and `off` is logged, and quotas are kept.
    """
    value = variables.get(QUOTAS_VARIABLE, 'on')
    if value not in ('on', 'off'):
        log.error('settings: %s must be on or off, not %r', QUOTAS_VARIABLE, value)
    return value != 'off'


def entry_settings(
    settings: PlatformSettings, variables: Mapping[str, str]
) -> EntrySettings:
    """Convert the platform's settings to the settings of an instance."""
    return EntrySettings(
        own=InstanceEntry(
            instance_id=settings.instance_id,
            zone=settings.zone,
            region=settings.region,
            caller_address=str(settings.caller_address),
            peer_address=str(settings.peer_address),
            report_address=str(settings.report_address),
            cores=settings.cores,
        ),
        seeds=settings.seeds,
        address_lifetime=min(ADDRESS_LIFETIME_SECONDS, settings.max_address_seconds),
        max_callers=settings.max_callers,
        stop_seconds=settings.stop_seconds,
        unsure_stop_seconds=UNSURE_STOP_SECONDS,
        probes_per_second=settings.probes_per_second,
        resend_share=settings.resend_share,
        resend_slack=settings.resend_slack,
        region_by_zone=settings.region_by_zone,
        cold_excess=settings.cold_excess,
        cold_slack=settings.cold_slack,
        quota_bounds=settings.quota_bounds if reads_quotas(variables) else None,
        uses_subsets=settings.uses_subsets,
    )


def reload(entry: Entry, environment: Environment) -> None:
    """Read and apply the settings file again, or keep the settings if it is invalid."""
    match read_settings_file(environment.variables):
        case Failure(mistakes):
            for mistake in mistakes:
                log.error('lifecycle: settings not reloaded. %s', mistake)
        case Success(settings):
            apply_settings(entry, entry_settings(settings, environment.variables))
