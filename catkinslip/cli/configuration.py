"""Base class of the commands that read, check or change the configuration."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from returns.result import Failure, Result

from catkinslip.cli import options
from catkinslip.cli.base import BaseCommand
from catkinslip.cli.in_force import FleetClient
from catkinslip.config.checks import DocumentRefused, parse_document
from catkinslip.config.documents import Document, to_plain
from catkinslip.config.shapes import DocumentMistake
from catkinslip.status import ExitStatus
from catkinslip.store.base import PlatformError
from catkinslip.store.http import HttpStore


class ConfigurationCommand(BaseCommand):
    """Command that reads, checks or changes the configuration."""

    @property
    def author(self) -> str:
        """Return the author of a change: `--author`, the user name or the user ID."""
        user = self.environment.variables.get('USER')
        return self.value(options.AUTHOR) or user or f'user-{os.getuid()}'

    @asynccontextmanager
    async def open_fleet(self, store: HttpStore) -> AsyncIterator[FleetClient]:
        """Open a client that queries all instances."""
        async with self.open_control() as client:
            yield FleetClient(client, store, self.value(options.CONTROL))

    def read_file(self) -> Result[Document, DocumentRefused]:
        """Read and check the document in the file argument of the command."""
        try:
            text = Path(self.argument('file')).read_bytes()
        except OSError as error:
            mistake = DocumentMistake(self.argument('file'), f'{error.strerror}')
            return Failure(DocumentRefused((mistake,)))
        return parse_document(text)

    def print_refused(self, refused: DocumentRefused) -> ExitStatus:
        """Print every mistake of a refused document and return the exit status."""
        if self.is_json:
            self.printer.json(
                {'outcome': 'refused', 'mistakes': to_plain(refused.mistakes)}
            )
            return ExitStatus.REJECTED
        for mistake in refused.mistakes:
            self.printer.error(f'{mistake.place}: {mistake.reason}.')
        count = len(refused.mistakes)
        self.printer.error(f'Refused, mistakes: {count}; nothing changed.')
        return ExitStatus.REJECTED

    def print_unreachable(self, error: PlatformError) -> ExitStatus:
        """Print that the platform did not answer and return the exit status."""
        self.printer.error(
            f'The platform did not answer: {error}. Nothing changed. '
            'Check --platform-url or CATKINSLIP_PLATFORM_URL and try again.'
        )
        return ExitStatus.UNREACHABLE
