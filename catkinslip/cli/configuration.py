"""What the commands about the configuration share."""

import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import httpx
import trio
from cleo.helpers import option
from returns.result import Failure, Result

from catkinslip.cli.commands import TIMEOUT_SECONDS, BaseCommand
from catkinslip.cli.in_force import Fleet
from catkinslip.config.checks import DocumentRefused, parse_document
from catkinslip.config.documents import Document, to_plain
from catkinslip.config.shapes import DocumentMistake
from catkinslip.control.app import SECRET_HEADER
from catkinslip.platform.base import PlatformError
from catkinslip.platform.http import HttpStore
from catkinslip.status import ExitStatus

PLATFORM = option(
    'platform-url',
    None,
    'URL of the object API. Variable: CATKINSLIP_PLATFORM_URL.',
    flag=False,
)
CONTROL = option(
    'control',
    None,
    'Control addresses of instances, host:port, separated by commas. '
    'Variable: CATKINSLIP_CONTROL.',
    flag=False,
)
INSTANCE_TIMEOUT_SECONDS = 2.0
JSON = option('json', None, 'Print JSON.')


class UsageError(Exception):
    """A flag or an argument that can't be understood."""


class ConfigurationCommand(BaseCommand):
    """A command about the configuration."""

    def handle(self) -> int:
        """Run the command and return its exit status."""
        try:
            return trio.run(self.run_async)
        except UsageError as error:
            self.line_error(str(error))
            return ExitStatus.USAGE

    def parse(self, name: str, text: str, convert: Callable[[str], Any]) -> Any:
        """Convert a value that the operator gave; raise UsageError if it is wrong."""
        try:
            return convert(text)
        except ValueError as error:
            raise UsageError(f'{name}: {error}.') from None

    async def run_async(self) -> int:
        """Do the command's work."""
        raise NotImplementedError

    @property
    def author(self) -> str:
        """Return who makes a change."""
        variables = self.environment.variables
        named = self.option('author') or variables.get('CATKINSLIP_AUTHOR')
        return named or variables.get('USER') or f'user-{os.getuid()}'

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the control addresses that the operator named."""
        variables = self.environment.variables
        text = self.option('control') or variables.get('CATKINSLIP_CONTROL', '')
        return tuple(each.strip() for each in text.split(',') if each.strip())

    @asynccontextmanager
    async def open_store(self) -> AsyncIterator[HttpStore]:
        """Open a client of the platform."""
        async with self.platform_client() as client:
            if not client.base_url.host:
                raise UsageError('Name the platform with --platform-url.')
            yield HttpStore(client, TIMEOUT_SECONDS)

    @asynccontextmanager
    async def open_fleet(self, store: HttpStore) -> AsyncIterator[Fleet]:
        """Open a client of all instances."""
        async with self.instance_client() as client:
            yield Fleet(client, store, self.control_addresses)

    def instance_client(self) -> httpx.AsyncClient:
        """Return a client of instances."""
        secret = self.environment.variables.get('CATKINSLIP_SHARED_SECRET', '')
        headers = {SECRET_HEADER: secret}
        return httpx.AsyncClient(headers=headers, timeout=INSTANCE_TIMEOUT_SECONDS)

    def read_file(self) -> Result[Document, DocumentRefused]:
        """Read and check the document that the command names."""
        try:
            text = Path(self.argument('file')).read_bytes()
        except OSError as error:
            mistake = DocumentMistake(self.argument('file'), f'{error.strerror}')
            return Failure(DocumentRefused((mistake,)))
        return parse_document(text)

    def tell_refused(self, refused: DocumentRefused) -> int:
        """Print every mistake of a document."""
        if self.option('json'):
            self.print_plain(
                {'outcome': 'refused', 'mistakes': to_plain(refused.mistakes)}
            )
            return ExitStatus.REJECTED
        for mistake in refused.mistakes:
            self.line_error(f'{mistake.place}: {mistake.reason}.')
        count = len(refused.mistakes)
        self.line_error(f'Refused, {count} to mend; nothing changed.')
        return ExitStatus.REJECTED

    def tell_unreachable(self, error: PlatformError) -> int:
        """Print that the platform could not be asked."""
        self.line_error(
            f'The platform did not answer: {error}. Nothing changed. '
            'Check --platform-url or CATKINSLIP_PLATFORM_URL and try again.'
        )
        return ExitStatus.UNREACHABLE
