"""What all commands share: settings, clients and printing."""

from abc import abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, ClassVar

import httpx
import trio
from cleo.commands.command import Command
from returns.result import Failure, Success

from catkinslip.cli import options
from catkinslip.cli.definition import Definition
from catkinslip.cli.output import Printer
from catkinslip.clock import LoopClock
from catkinslip.control.paths import SECRET_HEADER
from catkinslip.environment import Environment
from catkinslip.settings.base import Option, read_values, with_secret_files
from catkinslip.settings.flags import cleo_option
from catkinslip.status import ExitStatus
from catkinslip.store.http import HttpStore


class UsageError(Exception):
    """Arguments that are wrong or do not go together."""


class BaseCommand(Command):
    """A command that is declared by a definition and runs under trio."""

    declared: ClassVar[Definition]

    def __init__(self, environment: Environment) -> None:
        declared = self.declared
        self.environment = environment
        self.name = declared.name
        self.description = declared.summary
        self.settings = with_secret_files(declared.settings)
        self.arguments = list(declared.arguments)
        self.options = [*map(cleo_option, self.settings), *declared.switches]
        self.value_by_field: dict[str, Any] = {}
        super().__init__()

    @abstractmethod
    async def main(self) -> ExitStatus:
        """Do the command's work and return its exit status."""

    def handle(self) -> int:
        """Read all settings, then do the command's work."""
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
        """Return what prints data and errors."""
        return Printer(self.io, self.is_json)

    @property
    def is_json(self) -> bool:
        """Tell whether data is wanted as JSON."""
        return self.definition.has_option('json') and self.option('json')

    def value(self, option: Option) -> Any:
        """Return the checked value of a setting."""
        return self.value_by_field[option.field]

    @asynccontextmanager
    async def open_store(self) -> AsyncIterator[HttpStore]:
        """Open the platform's object API."""
        timeout = self.value(options.PLATFORM_TIMEOUT)
        url = self.value(options.PLATFORM_URL)
        async with httpx.AsyncClient(base_url=url, timeout=timeout) as client:
            yield HttpStore(client, timeout)

    def open_control(self) -> httpx.AsyncClient:
        """Return a context that opens a client of control surfaces."""
        # Control surfaces speak plain HTTP; certificates take long to load.
        return httpx.AsyncClient(
            verify=False,
            headers={SECRET_HEADER: self.value(options.SHARED_SECRET)},
            timeout=self.value(options.CONTROL_TIMEOUT),
        )
