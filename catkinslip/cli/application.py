"""The cleo application of the command-line tool."""

from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from catkinslip import __version__
from catkinslip.cli.configuration_changes import (
    ApplyCommand,
    DrainCommand,
    EvacuateCommand,
    UndrainCommand,
    UnevacuateCommand,
    WatchCommand,
)
from catkinslip.cli.configuration_reads import (
    ChangesCommand,
    CheckCommand,
    DiffCommand,
    ReadCommand,
)
from catkinslip.cli.explain import ExplainCommand
from catkinslip.cli.help import HelpCommand
from catkinslip.cli.instances import InstancesCommand, StatusCommand
from catkinslip.cli.metrics import MetricsCommand
from catkinslip.cli.workspaces import WorkspacesCommand
from catkinslip.environment import Environment
from catkinslip.status import ExitStatus

PROGRAM = 'catkinslip'
COMMANDS = (
    CheckCommand,
    ReadCommand,
    ChangesCommand,
    DiffCommand,
    ApplyCommand,
    DrainCommand,
    UndrainCommand,
    EvacuateCommand,
    UnevacuateCommand,
    WatchCommand,
    StatusCommand,
    InstancesCommand,
    MetricsCommand,
    WorkspacesCommand,
    ExplainCommand,
)


def run(arguments: Sequence[str], environment: Environment | None = None) -> int:
    """Run the command-line tool and return its exit status."""
    environment = environment or Environment()
    try:
        return build_application(environment).run(
            ArgvInput([PROGRAM, *arguments]),
            StreamOutput(environment.stdout),
            StreamOutput(environment.stderr),
        )
    except CleoError as error:
        hint = f'See {PROGRAM} list, or {PROGRAM} help COMMAND.'
        print(f'{str(error).rstrip(".")}. {hint}', file=environment.stderr)
        return ExitStatus.USAGE


def build_application(environment: Environment) -> Application:
    """Return the cleo application with all commands registered."""
    application = Application(PROGRAM, __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.add(HelpCommand())
    for command in COMMANDS:
        application.add(command(environment))
    return application
