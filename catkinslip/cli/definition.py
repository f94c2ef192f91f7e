"""All commands of the tool: arguments, flags, help, examples and exit statuses."""

from attrs import frozen
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option as CleoOption

from catkinslip.settings.base import Option, number
from catkinslip.settings.values import host_and_port, http_url
from catkinslip.status import ExitStatus

PLATFORM_GROUP = 'Platform'
CONTROL_GROUP = 'Control surface'
CHANGE_GROUP = 'Change'

PLATFORM_URL = Option(
    '--platform-url', '', http_url, 'URL of the object API.', PLATFORM_GROUP
)
PLATFORM_TIMEOUT = Option(
    '--platform-timeout',
    '5',
    number(0.05, 60, 'seconds'),
    'Seconds to wait for an answer of the platform.',
    PLATFORM_GROUP,
)
CONTROL = Option(
    '--control',
    '',
    host_and_port,
    'Control address of one instance, host:port.',
    CONTROL_GROUP,
)
CONTROL_TIMEOUT = Option(
    '--control-timeout',
    '3',
    number(0.05, 60, 'seconds'),
    'Seconds to wait for an answer of an instance.',
    CONTROL_GROUP,
)
SHARED_SECRET = Option(
    '--shared-secret',
    '',
    str,
    'Secret that instances ask for; a flag shows in the process list, so prefer '
    'the variable or the file.',
    CONTROL_GROUP,
    secret=True,
)
AUTHOR = Option('--author', 'operator', str, 'Who makes the change.', CHANGE_GROUP)

PLATFORM = (PLATFORM_URL, PLATFORM_TIMEOUT)
INSTANCE = (CONTROL, CONTROL_TIMEOUT, SHARED_SECRET)

JSON = option('json', None, 'Print the data as JSON.')


@frozen
class Example:
    """A command line and what it does."""

    meaning: str
    line: str


@frozen
class Definition:
    """One command as the tool declares it."""

    name: str
    summary: str
    help: str
    settings: tuple[Option, ...] = ()
    arguments: tuple[Argument, ...] = ()
    switches: tuple[CleoOption, ...] = ()
    examples: tuple[Example, ...] = ()
    statuses: tuple[ExitStatus, ...] = ()


READ = Definition(
    'read',
    'Print the accepted configuration.',
    'Reads the register and the rules from the platform and prints them as JSON.',
    PLATFORM,
    examples=(Example('Save the configuration.', 'catkinslip read > config.json'),),
    statuses=(ExitStatus.UNREACHABLE,),
)

APPLY = Definition(
    'apply',
    'Make a document the accepted configuration.',
    'Checks the document, then writes it to the platform on the condition that no '
    'other change came first.',
    (*PLATFORM, AUTHOR),
    (argument('file', 'JSON document with the register and the rules.'),),
    (option('base', None, 'Version the document was made from.', flag=False),),
    (
        Example('Change the register.', 'catkinslip apply document.json'),
        Example(
            'Refuse if version 7 is not the current one.',
            'catkinslip apply document.json --base 7',
        ),
    ),
    (
        ExitStatus.REJECTED,
        ExitStatus.CONFLICT,
        ExitStatus.UNKNOWN,
        ExitStatus.UNREACHABLE,
    ),
)

STATUS = Definition(
    'status',
    'Show what one instance knows and does.',
    'Asks one instance for its configuration in force, its members and its state.',
    INSTANCE,
    switches=(JSON,),
    examples=(
        Example('Show one instance.', 'catkinslip status --control 10.0.0.1:7001'),
        Example('Take the data into a script.', 'catkinslip status --json'),
    ),
    statuses=(ExitStatus.UNREACHABLE,),
)

INSTANCES = Definition(
    'instances',
    'Show every instance and its configuration in force.',
    'Asks one instance for its members, then asks each member for its status.',
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

METRICS = Definition(
    'metrics',
    'Show what one instance has measured.',
    'Asks one instance for its counts and durations. Quantiles cover the last one to '
    'two minutes; counts cover the time since the start of the daemon. The same '
    'values are at /metrics of the control address in the Prometheus text format.',
    INSTANCE,
    switches=(JSON,),
    examples=(
        Example('Show one instance.', 'catkinslip metrics --control 10.0.0.1:7001'),
        Example('Take the data into a script.', 'catkinslip metrics --json'),
    ),
    statuses=(ExitStatus.UNREACHABLE,),
)

EXPLAIN = Definition(
    'explain',
    'Explain what became of one request.',
    'Asks one instance for its members, then asks each for the request: which servers '
    'were chosen and why, how each attempt ended and what the caller was told. Each '
    'instance remembers its last 2,000 requests; for older ones give a log file.',
    INSTANCE,
    (argument('request-id', 'Value of the answer header Catkinslip-Request-Id.'),),
    (
        JSON,
        option('log', None, 'Log file to read; no instance is asked.', flag=False),
    ),
    (
        Example(
            'Ask all instances.',
            'catkinslip explain 7f3a90c2d14b5e66 --control 10.0.0.1:7001',
        ),
        Example(
            'Read a log file instead.',
            'catkinslip explain 7f3a90c2d14b5e66 --log catkinslipd.log',
        ),
    ),
    (ExitStatus.UNREACHABLE, ExitStatus.NOT_FOUND),
)

COMMANDS = (READ, APPLY, STATUS, INSTANCES, METRICS, EXPLAIN)


def all_settings() -> tuple[Option, ...]:
    """Return every setting that some command reads."""
    by_field = {each.field: each for command in COMMANDS for each in command.settings}
    return tuple(by_field.values())
