"""Commands that read and change the accepted configuration."""

import secrets
from pathlib import Path

import orjson
from returns.result import Failure, Success

from catkinslip.cli import definition as defined
from catkinslip.cli.base import BaseCommand
from catkinslip.config.changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeNotMade,
    ChangeOutcome,
    StoredConfig,
    apply_change,
    read_config,
)
from catkinslip.config.checks import read_document
from catkinslip.config.documents import Document, to_plain
from catkinslip.platform.base import PlatformError
from catkinslip.status import ExitStatus


class ReadCommand(BaseCommand):
    """Print the accepted configuration."""

    declared = defined.READ

    async def main(self) -> ExitStatus:
        """Do the command's work and return its exit status."""
        async with self.open_store() as store:
            found = await read_config(store)
        if not isinstance(found, StoredConfig):
            return self.tell_unreachable(found)
        self.printer.json(to_plain(found.config))
        return ExitStatus.SUCCESS

    def tell_unreachable(self, error: PlatformError) -> ExitStatus:
        """Say that the platform did not answer."""
        self.printer.error(f'The platform did not answer: {error}.')
        return ExitStatus.UNREACHABLE


class ApplyCommand(ReadCommand):
    """Make a document the accepted configuration."""

    declared = defined.APPLY

    async def main(self) -> ExitStatus:
        """Do the command's work and return its exit status."""
        plain = orjson.loads(Path(self.argument('file')).read_bytes())
        match read_document(plain):
            case Failure(refused):
                for mistake in refused.mistakes:
                    self.printer.error(f'{mistake.place}: {mistake.reason}.')
                return ExitStatus.REJECTED
            case Success(document):
                return await self._apply(document)

    async def _apply(self, document: Document) -> ExitStatus:
        async with self.open_store() as store:
            base = await read_config(store)
            if not isinstance(base, StoredConfig):
                return self.tell_unreachable(base)
            wanted = self.option('base')
            if wanted is not None and int(wanted) != base.config.version.number:
                return self._tell(ChangeConflict(base.config))
            change_id = secrets.token_hex(8)
            author = self.value(defined.AUTHOR)
            return self._tell(
                await apply_change(store, base, document, change_id, author)
            )

    def _tell(self, outcome: ChangeOutcome) -> ExitStatus:
        match outcome:
            case ChangeAccepted(config):
                self.printer.sentence(f'Accepted as version {config.version.number}.')
                return ExitStatus.SUCCESS
            case ChangeConflict(winner):
                self.printer.error(
                    f'Not changed: version {winner.version.number} '
                    f'by {winner.author} came first.'
                )
                return ExitStatus.CONFLICT
            case ChangeNotMade(reason):
                self.printer.error(f'Not changed: {reason}.')
                return ExitStatus.UNREACHABLE
        self.printer.error(f'Unknown whether the change was accepted: {outcome}.')
        return ExitStatus.UNKNOWN
