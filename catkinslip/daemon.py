"""Entry point of the daemon, which runs as one process per instance."""

import logging
import sys
from collections.abc import Sequence

import trio
from returns.result import Failure, Success

from catkinslip import __version__
from catkinslip.cli.definition import all_settings
from catkinslip.clock import LoopClock
from catkinslip.core import serve
from catkinslip.environment import Environment
from catkinslip.listeners import ListenError
from catkinslip.logs.buffer import LogBuffer
from catkinslip.logs.ends import report_end
from catkinslip.logs.flush import LogFlusher
from catkinslip.logs.setup import configure_buffered
from catkinslip.logs.writers import open_writer
from catkinslip.settings.base import with_secret_files
from catkinslip.settings.daemon import DaemonSettings
from catkinslip.settings.daemon_options import OPTIONS
from catkinslip.settings.start import (
    PROGRAM,
    daemon_help,
    parse_daemon_flags,
    read_daemon_settings,
    unknown_variables,
)
from catkinslip.status import ExitStatus

log = logging.getLogger('daemon')


def main() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str], environment: Environment | None = None) -> ExitStatus:
    """Run the daemon with its command-line arguments and return its exit status."""
    environment = environment or Environment()
    flags = parse_daemon_flags(arguments)
    if 'help' in flags.switches:
        print(daemon_help(), file=environment.stdout)
        return ExitStatus.SUCCESS
    if 'version' in flags.switches:
        print(f'{PROGRAM} {__version__}', file=environment.stdout)
        return ExitStatus.SUCCESS
    match read_daemon_settings(flags, environment.variables):
        case Failure(error):
            for mistake in error.mistakes:
                print(mistake, file=environment.stderr)
            return ExitStatus.USAGE
        case Success(settings):
            if 'check' in flags.switches:
                for name in unread_variables(environment):
                    print(
                        f'No setting reads the variable {name}.',
                        file=environment.stderr,
                    )
                print('The settings are right.', file=environment.stdout)
                return ExitStatus.SUCCESS
            return start(settings, environment)


def start(settings: DaemonSettings, environment: Environment) -> ExitStatus:
    """Set up logging, serve until a signal stops the daemon, return its status."""
    buffer = configure_buffered(settings.log_level)
    log_warnings(settings, environment)
    try:
        return trio.run(serve_and_log, settings, environment, buffer, clock=LoopClock())
    except Exception as error:
        report_end(error, environment.stderr)
        return ExitStatus.ERROR


async def serve_and_log(
    settings: DaemonSettings, environment: Environment, buffer: LogBuffer
) -> ExitStatus:
    """Serve and write the log until a signal stops the daemon."""
    flusher = LogFlusher(buffer, open_writer(environment.stderr))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(flusher.run)
        try:
            await serve(settings, environment, buffer)
        except ListenError as error:
            log.error('daemon: %s.', error)
            return ExitStatus.USAGE
        finally:
            nursery.cancel_scope.cancel()
    return ExitStatus.SUCCESS


def log_warnings(settings: DaemonSettings, environment: Environment) -> None:
    """Log warnings about settings that are valid but risky."""
    if not settings.shared_secret:
        log.warning(
            'daemon: the control surface asks for no secret; anyone who reaches %s '
            'can act as a peer. Set CATKINSLIP_SHARED_SECRET.',
            settings.control_host,
        )
    for name in unread_variables(environment):
        log.warning('daemon: no setting reads the variable %s.', name)


def unread_variables(environment: Environment) -> list[str]:
    """Return names of variables with the product's prefix that no program reads."""
    known = with_secret_files((*OPTIONS, *all_settings()))
    return unknown_variables(environment.variables, known)


if __name__ == '__main__':
    main()
