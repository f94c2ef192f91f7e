"""The commands that show the configuration and check documents."""

import time

import httpx
from cleo.helpers import argument, option
from returns.result import Failure, Success

from catkinslip.cli.configuration import JSON, PLATFORM, ConfigurationCommand
from catkinslip.config.documents import ConfigVersion, Document, to_plain
from catkinslip.config.history import Change, Head
from catkinslip.config.merge import merge_diff
from catkinslip.config.reading import (
    StoredConfig,
    StoredHead,
    read_config,
    read_head,
)
from catkinslip.status import ExitStatus


class CheckCommand(ConfigurationCommand):
    """Check a document without the platform."""

    name = 'check'
    description = 'Check a document and print every mistake; nothing is sent.'
    arguments = [argument('file', 'JSON document with the register and the rules.')]
    options = [JSON]

    async def run_async(self) -> int:
        """Do the command's work."""
        match self.read_file():
            case Success(document):
                return self._tell_good(document)
            case Failure(refused):
                return self.tell_refused(refused)

    def _tell_good(self, document: Document) -> int:
        services = len(document.register.services)
        backends = len(document.register.backends)
        if self.option('json'):
            counts = {'services': services, 'backends': backends}
            self.print_plain({'outcome': 'good', **counts})
        else:
            self.line(f'Good: {services} services, {backends} backend servers.')
        return ExitStatus.SUCCESS


class ReadCommand(ConfigurationCommand):
    """Print the accepted configuration."""

    name = 'read'
    description = 'Print the accepted configuration, or the one an instance holds.'
    options = [
        PLATFORM,
        option('from', None, 'Control address of an instance to read.', flag=False),
        option('document', None, 'Print only the document, fit for `apply`.'),
    ]

    async def run_async(self) -> int:
        """Do the command's work."""
        if self.option('from'):
            return await self._read_instance(self.option('from'))
        async with self.open_store() as store:
            found = await read_config(store)
        if not isinstance(found, StoredConfig):
            return self.tell_unreachable(found)
        config = found.config
        return self._tell(
            {
                'version': str(config.version),
                'change_id': config.change_id,
                'author': config.author,
                'document': config.plain,
            }
        )

    async def _read_instance(self, address: str) -> int:
        async with self.instance_client() as client:
            try:
                response = await client.get(f'http://{address}/v1/config')
                response.raise_for_status()
            except httpx.HTTPError as error:
                self.line_error(f'{address} did not answer: {error!r}.')
                return ExitStatus.UNREACHABLE
        return self._tell(response.json())

    def _tell(self, plain: dict) -> int:
        self.print_plain(plain['document'] if self.option('document') else plain)
        return ExitStatus.SUCCESS


class ChangesCommand(ConfigurationCommand):
    """Show recent changes."""

    name = 'changes'
    description = 'Show the last changes, or what became of one change.'
    options = [
        PLATFORM,
        option('change', None, 'ID of one change.', flag=False),
        option('patches', None, 'Print what each change did.'),
        JSON,
    ]

    async def run_async(self) -> int:
        """Do the command's work."""
        async with self.open_store() as store:
            found = await read_head(store)
        if not isinstance(found, StoredHead):
            return self.tell_unreachable(found)
        wanted = self.option('change')
        if wanted is None:
            self._tell(found.head.changes)
            return ExitStatus.SUCCESS
        change = found.head.find(wanted)
        if change is not None:
            self._tell((change,))
            return ExitStatus.SUCCESS
        return self._tell_absent(wanted, found.head)

    def _tell(self, changes: tuple[Change, ...]) -> None:
        if self.option('json'):
            self.print_plain(to_plain(changes))
            return
        for change in changes:
            made_at = time.strftime('%F %T', time.gmtime(change.made_at))
            line = f'{change.version}  {change.change_id}  {made_at}  {change.author}'
            if self.option('patches'):
                line += f'  {to_plain(change.patch)}'
            print(line, file=self.environment.stdout)

    def _tell_absent(self, change_id: str, head: Head) -> int:
        if head.reaches_back_to(ConfigVersion()):
            self.line_error(f'Change {change_id} has not been accepted.')
            return ExitStatus.CONFLICT
        first = head.changes[0].version
        self.line_error(
            f'Change {change_id} is not among the changes since version {first}: '
            'it was not accepted since then; of earlier ones nothing is known.'
        )
        return ExitStatus.UNKNOWN


class DiffCommand(ConfigurationCommand):
    """Show what a document would change."""

    name = 'diff'
    description = 'Show what a document would change, as a merge patch.'
    arguments = [argument('file', 'JSON document with the register and the rules.')]
    options = [PLATFORM, JSON]

    async def run_async(self) -> int:
        """Do the command's work."""
        match self.read_file():
            case Failure(refused):
                return self.tell_refused(refused)
            case Success(document):
                pass
        async with self.open_store() as store:
            found = await read_config(store)
        if not isinstance(found, StoredConfig):
            return self.tell_unreachable(found)
        self.print_plain(merge_diff(found.config.plain, to_plain(document)))
        return ExitStatus.SUCCESS
