"""Definitions of all commands: arguments, help, examples and exit statuses."""

from attrs import frozen
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option as CleoOption

from catkinslip.cli.options import (
    CHANGE,
    CONTROL_TIMEOUT,
    INSTANCE,
    OPTIONAL_INSTANCE,
    OPTIONAL_PLATFORM,
    PLATFORM,
    SHARED_SECRET,
    WATCH_WAIT,
)
from catkinslip.settings.base import Option
from catkinslip.status import ExitStatus

CHANGE_STATUSES = (
    ExitStatus.REJECTED,
    ExitStatus.CONFLICT,
    ExitStatus.UNKNOWN,
    ExitStatus.UNREACHABLE,
    ExitStatus.NOT_IN_FORCE,
)

JSON = option('json', None, 'Print the data as JSON.')


@frozen
class Example:
    """Example command line and its purpose."""

    meaning: str
    line: str


@frozen
class CommandDefinition:
    """Definition of one command, from which its parser and its help are built."""

    name: str
    summary: str
    help: str
    settings: tuple[Option, ...] = ()
    arguments: tuple[Argument, ...] = ()
    switches: tuple[CleoOption, ...] = ()
    examples: tuple[Example, ...] = ()
    statuses: tuple[ExitStatus, ...] = ()


FILE = argument('file', 'JSON document with the register and the rules.')

CHECK = CommandDefinition(
    'check',
    'Check a document and print every mistake.',
    'Reads a document as `apply` does and prints the location and the reason of each '
    'mistake. Nothing is sent.',
    arguments=(FILE,),
    switches=(JSON,),
    examples=(Example('Check before a change.', 'catkinslip check document.json'),),
    statuses=(ExitStatus.REJECTED,),
)

READ = CommandDefinition(
    'read',
    'Print the accepted configuration.',
    'Reads the register and the rules from the platform, or from one instance, and '
    'prints them as JSON with their version.',
    (*OPTIONAL_PLATFORM, CONTROL_TIMEOUT, SHARED_SECRET),
    switches=(
        option('from', None, 'Control address of an instance to read.', flag=False),
        option('document', None, 'Print only the document, as `apply` accepts it.'),
    ),
    examples=(
        Example('Save the document.', 'catkinslip read --document > document.json'),
        Example(
            'Read the configuration of one instance.',
            'catkinslip read --from 10.0.0.1:7001',
        ),
    ),
    statuses=(ExitStatus.UNREACHABLE,),
)

CHANGES = CommandDefinition(
    'changes',
    'Show the last changes, or whether one change was accepted.',
    'Reads the last changes from the platform: version, ID, time and author. With '
    '--change, shows whether that change was accepted.',
    PLATFORM,
    switches=(
        option('change', None, 'ID of one change.', flag=False),
        option('patches', None, 'Print the patch of each change.'),
        JSON,
    ),
    examples=(
        Example('See who changed what.', 'catkinslip changes --patches'),
        Example(
            'Find the outcome of a change whose answer was lost.',
            'catkinslip changes --change 5f0c1a2b3d4e5f60',
        ),
    ),
    statuses=(ExitStatus.CONFLICT, ExitStatus.UNKNOWN, ExitStatus.UNREACHABLE),
)

DIFF = CommandDefinition(
    'diff',
    'Show what a document would change.',
    'Compares a document with the accepted configuration and prints the difference as '
    'a JSON merge patch.',
    PLATFORM,
    (FILE,),
    (JSON,),
    (Example('See the difference before a change.', 'catkinslip diff document.json'),),
    (ExitStatus.REJECTED, ExitStatus.UNREACHABLE),
)

APPLY = CommandDefinition(
    'apply',
    'Make a document the accepted configuration.',
    'The document replaces the accepted one, unless another change was accepted since '
    '--base. Without --base, a change that another operator made since you read the '
    'document is overwritten.',
    CHANGE,
    (FILE,),
    (
        option('base', None, 'Version the document was made from.', flag=False),
        option(
            'raise-epoch',
            None,
            'Start a new epoch, after the platform was restored from a backup.',
        ),
        JSON,
    ),
    (
        Example(
            'Change and wait until it is in force everywhere.',
            'catkinslip apply document.json --base 0.17 --wait 30',
        ),
    ),
    CHANGE_STATUSES,
)

BACKEND = argument('backend', 'Name of the backend server in the register.')

DRAIN = CommandDefinition(
    'drain',
    'Send no new requests to a backend server; requests in flight finish.',
    'Marks the server as draining in the register.',
    CHANGE,
    (BACKEND,),
    (JSON,),
    (Example('Drain before a restart.', 'catkinslip drain limits-1 --wait 30'),),
    CHANGE_STATUSES,
)

UNDRAIN = CommandDefinition(
    'undrain',
    'Send requests to a drained backend server again.',
    'Marks the server as not draining in the register.',
    CHANGE,
    (BACKEND,),
    (JSON,),
    (Example('Use it again.', 'catkinslip undrain limits-1 --wait 30'),),
    CHANGE_STATUSES,
)

ZONE = argument('zone', 'Name of the availability zone in the register.')

EVACUATE = CommandDefinition(
    'evacuate',
    'Send no new requests to the backend servers of a zone; those in flight finish.',
    'Adds the zone to the evacuated zones of the rules.',
    CHANGE,
    (ZONE,),
    (JSON,),
    (Example('Evacuate a zone.', 'catkinslip evacuate zone-a --wait 30'),),
    CHANGE_STATUSES,
)

UNEVACUATE = CommandDefinition(
    'unevacuate',
    'Send requests to the backend servers of an evacuated zone again.',
    'Removes the zone from the evacuated zones of the rules.',
    CHANGE,
    (ZONE,),
    (JSON,),
    (Example('Use it again.', 'catkinslip unevacuate zone-a --wait 30'),),
    CHANGE_STATUSES,
)

WATCH = CommandDefinition(
    'watch',
    'Wait until a version is in force on every instance.',
    'Polls all instances until each has the version in force, and lists the others '
    'when the wait ends.',
    (*PLATFORM, *OPTIONAL_INSTANCE, WATCH_WAIT),
    (
        argument(
            'version',
            'Version, such as 0.17; default: the last one.',
            optional=True,
        ),
    ),
    (JSON,),
    (Example('Wait for the last change.', 'catkinslip watch --wait 60'),),
    (ExitStatus.UNREACHABLE, ExitStatus.NOT_IN_FORCE),
)

STATUS = CommandDefinition(
    'status',
    'Show the status of one instance.',
    'Queries one instance for its configuration in force, its members and its state.',
    INSTANCE,
    switches=(JSON,),
    examples=(
        Example('Show one instance.', 'catkinslip status --control 10.0.0.1:7001'),
        Example('Print JSON for a script.', 'catkinslip status --json'),
    ),
    statuses=(ExitStatus.UNREACHABLE,),
)

INSTANCES = CommandDefinition(
    'instances',
    'Show every instance and its configuration in force.',
    'Queries one instance for its members, then each member for its status.',
    INSTANCE,
    switches=(JSON,),
    examples=(
        Example(
            'See whether a change is in force everywhere.',
            'catkinslip instances --control 10.0.0.1:7001',
        ),
    ),
    statuses=(ExitStatus.UNREACHABLE,),
)

METRICS = CommandDefinition(
    'metrics',
    'Show the metrics of one instance.',
    'Queries one instance for its counts and durations. Quantiles cover the last one '
    'to two minutes; counts cover the time since the start of the daemon. The same '
    'values are at /metrics of the control address in the Prometheus text format.',
    INSTANCE,
    switches=(JSON,),
    examples=(
        Example('Show one instance.', 'catkinslip metrics --control 10.0.0.1:7001'),
        Example('Print JSON for a script.', 'catkinslip metrics --json'),
    ),
    statuses=(ExitStatus.UNREACHABLE,),
)

WORKSPACES = CommandDefinition(
    'workspaces',
    'Show the workspaces, their limits, keys and requests.',
    'Queries one instance for its configuration in force, then each member for the '
    'outcomes of requests since its start. Keys are shown as fingerprints. Each '
    'instance counts its largest workspaces by name and all others as (other).',
    INSTANCE,
    switches=(JSON,),
    examples=(
        Example(
            'See which workspaces are refused.',
            'catkinslip workspaces --control 10.0.0.1:7001',
        ),
    ),
    statuses=(ExitStatus.UNREACHABLE,),
)

EXPLAIN = CommandDefinition(
    'explain',
    'Explain how one request was handled.',
    'Queries one instance for its members, then each member for the request: which '
    'servers were chosen and why, how each attempt ended and what the caller received. '
    'Each instance keeps its last 2,000 requests; for older ones give a log file.',
    INSTANCE,
    (argument('request-id', 'Value of the answer header Catkinslip-Request-Id.'),),
    (
        JSON,
        option('log', None, 'Log file to read; no instance is queried.', flag=False),
    ),
    (
        Example(
            'Query all instances.',
            'catkinslip explain 7f3a90c2d14b5e66 --control 10.0.0.1:7001',
        ),
        Example(
            'Read a log file instead.',
            'catkinslip explain 7f3a90c2d14b5e66 --log catkinslipd.log',
        ),
    ),
    (ExitStatus.UNREACHABLE, ExitStatus.NOT_FOUND),
)

COMMANDS = (
    CHECK,
    READ,
    CHANGES,
    DIFF,
    APPLY,
    DRAIN,
    UNDRAIN,
    EVACUATE,
    UNEVACUATE,
    WATCH,
    STATUS,
    INSTANCES,
    METRICS,
    WORKSPACES,
    EXPLAIN,
)


def all_settings() -> tuple[Option, ...]:
    """Return every setting that at least one command reads."""
    by_field = {each.field: each for command in COMMANDS for each in command.settings}
    return tuple(by_field.values())
