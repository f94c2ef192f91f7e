"""Base class of all commands: settings, HTTP clients and printing."""

from abc import abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, ClassVar

import httpx
import trio
from cleo.commands.command import Command
from returns.result import Failure, Success

from catkinslip.cli import options
from catkinslip.cli.definition import CommandDefinition
from catkinslip.cli.output import Printer
from catkinslip.clock import LoopClock
from catkinslip.control.paths import SECRET_HEADER
from catkinslip.environment import Environment
from catkinslip.settings.base import Option, read_values, with_secret_files
from catkinslip.settings.flags import cleo_option
from catkinslip.status import ExitStatus
from catkinslip.store.http import HttpStore


class UsageError(Exception):
    """Invalid arguments, or arguments that cannot be used together."""


class BaseCommand(Command):
    """Command that is built from its definition and runs under trio."""

    command_definition: ClassVar[CommandDefinition]

    def __init__(self, environment: Environment) -> None:
        command_definition = self.command_definition
        self.environment = environment
        self.name = command_definition.name
        self.description = command_definition.summary
        self.settings = with_secret_files(command_definition.settings)
        self.arguments = list(command_definition.arguments)
        self.options = [*map(cleo_option, self.settings), *command_definition.switches]
        self.value_by_field: dict[str, Any] = {}
        super().__init__()

    @abstractmethod
    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""

    def handle(self) -> int:
        """Read all settings, run the command and return its exit status."""
        flags = {each.field: self.option(each.name) for each in self.settings}
        match read_values(self.settings, flags, self.environment.variables):
            case Failure(error):
                for mistake in error.mistakes:
                    self.printer.error(mistake)
                return int(ExitStatus.USAGE)
            case Success(value_by_field):
                self.value_by_field = value_by_field
        try:
            return int(trio.run(self.main, clock=LoopClock()))
        except UsageError as error:
            self.printer.error(str(error))
            return int(ExitStatus.USAGE)

    @property
    def printer(self) -> Printer:
        """Return a printer for the data and errors of this command."""
        return Printer(self.io, self.is_json)

    @property
    def is_json(self) -> bool:
        """Return whether the command prints its data as JSON (`--json`)."""
        return self.definition.has_option('json') and self.option('json')

    def value(self, option: Option) -> Any:
        """Return the converted value of a setting of this command."""
        return self.value_by_field[option.field]

    @asynccontextmanager
    async def open_store(self) -> AsyncIterator[HttpStore]:
        """Open a client of the platform's object API."""
        timeout = self.value(options.PLATFORM_TIMEOUT)
        url = self.value(options.PLATFORM_URL)
        async with httpx.AsyncClient(base_url=url, timeout=timeout) as client:
            yield HttpStore(client, timeout)

    def open_control(self) -> httpx.AsyncClient:
        """Return an HTTP client of control APIs, to be entered as a context."""
        # Control APIs use plain HTTP; loading certificates would be slow.
        return httpx.AsyncClient(
            verify=False,
            headers={SECRET_HEADER: self.value(options.SHARED_SECRET)},
            timeout=self.value(options.CONTROL_TIMEOUT),
        )
