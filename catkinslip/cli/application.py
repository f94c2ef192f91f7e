"""The tool's application and its commands."""

from collections.abc import Sequence

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from catkinslip import __version__
from catkinslip.cli.commands import StatusCommand
from catkinslip.cli.configuration_changes import (
    ApplyCommand,
    DrainCommand,
    UndrainCommand,
    WatchCommand,
)
from catkinslip.cli.configuration_reads import (
    ChangesCommand,
    CheckCommand,
    DiffCommand,
    ReadCommand,
)
from catkinslip.environment import Environment

COMMANDS = (
    CheckCommand,
    ReadCommand,
    ChangesCommand,
    DiffCommand,
    ApplyCommand,
    DrainCommand,
    UndrainCommand,
    WatchCommand,
    StatusCommand,
)


def run(arguments: Sequence[str], environment: Environment | None = None) -> int:
    """Run the tool and return its exit status."""
    environment = environment or Environment()
    application = Application('catkinslip', __version__)
    application.auto_exits(False)
    for command in COMMANDS:
        application.add(command(environment))
    return application.run(
        ArgvInput(['catkinslip', *arguments]),
        StreamOutput(environment.stdout),
        StreamOutput(environment.stderr),
    )
