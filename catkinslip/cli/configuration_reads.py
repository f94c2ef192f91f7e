"""The commands that print the configuration and check documents."""

import time

import httpx
from returns.result import Failure, Success

from catkinslip.cli import definition as definitions
from catkinslip.cli import options
from catkinslip.cli.base import UsageError
from catkinslip.cli.configuration import ConfigurationCommand
from catkinslip.config.documents import ConfigVersion, Document, to_plain
from catkinslip.config.history import Change, Head
from catkinslip.config.merge import merge_diff
from catkinslip.config.reading import StoredConfig, StoredHead, read_config, read_head
from catkinslip.status import ExitStatus
from catkinslip.workspaces.fingerprints import hide_keys


class CheckCommand(ConfigurationCommand):
    """Check a document without access to the platform (`check`)."""

    command_definition = definitions.CHECK

    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""
        match self.read_file():
            case Success(document):
                return self._print_valid(document)
            case Failure(refused):
                return self.print_refused(refused)

    def _print_valid(self, document: Document) -> ExitStatus:
        services = len(document.register.services)
        backends = len(document.register.backends)
        if self.is_json:
            counts = {'services': services, 'backends': backends}
            self.printer.json({'outcome': 'good', **counts})
        else:
            self.printer.line(f'Good: {services} services, {backends} backend servers.')
        return ExitStatus.SUCCESS


class ReadCommand(ConfigurationCommand):
    """Print the accepted configuration (`read`)."""

    command_definition = definitions.READ

    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""
        if self.option('from'):
            return await self._read_instance(self.option('from'))
        if not self.value(options.PLATFORM_URL):
            raise UsageError(
                'Set the platform with --platform-url (CATKINSLIP_PLATFORM_URL), or '
                'an instance with --from.'
            )
        async with self.open_store() as store:
            found = await read_config(store)
        if not isinstance(found, StoredConfig):
            return self.print_unreachable(found)
        config = found.config
        return self._print_document(
            {
                'version': str(config.version),
                'change_id': config.change_id,
                'author': config.author,
                'document': config.plain
                if self.option('document')
                else hide_keys(config.plain),
            }
        )

    async def _read_instance(self, address: str) -> ExitStatus:
        async with self.open_control() as client:
            try:
                response = await client.get(f'http://{address}/v1/config')
                response.raise_for_status()
            except httpx.HTTPError as error:
                self.printer.error(f'{address} did not answer: {error!r}.')
                return ExitStatus.UNREACHABLE
        return self._print_document(response.json())

    def _print_document(self, plain: dict) -> ExitStatus:
        self.printer.json(plain['document'] if self.option('document') else plain)
        return ExitStatus.SUCCESS


class ChangesCommand(ConfigurationCommand):
    """Print the recent changes, or whether one change was accepted (`changes`)."""

    command_definition = definitions.CHANGES

    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""
        async with self.open_store() as store:
            found = await read_head(store)
        if not isinstance(found, StoredHead):
            return self.print_unreachable(found)
        change_id = self.option('change')
        if change_id is None:
            self._print_changes(found.head.changes)
            return ExitStatus.SUCCESS
        change = found.head.find(change_id)
        if change is not None:
            self._print_changes((change,))
            return ExitStatus.SUCCESS
        return self._print_absent(change_id, found.head)

    def _print_changes(self, changes: tuple[Change, ...]) -> None:
        if self.is_json:
            self.printer.json([plain_change(change) for change in changes])
            return
        for change in changes:
            made_at = time.strftime('%F %T', time.gmtime(change.made_at))
            line = f'{change.version}  {change.change_id}  {made_at}  {change.author}'
            if self.option('patches'):
                line += f'  {hide_keys(to_plain(change.patch))}'
            self.printer.line(line)

    def _print_absent(self, change_id: str, head: Head) -> ExitStatus:
        if head.has_all_changes_after(ConfigVersion()):
            self.printer.error(f'Change {change_id} has not been accepted.')
            return ExitStatus.CONFLICT
        first = head.changes[0].version
        self.printer.error(
            f'Change {change_id} is not among the changes since version {first}: '
            'it was not accepted since then; earlier changes are no longer listed.'
        )
        return ExitStatus.UNKNOWN


class DiffCommand(ConfigurationCommand):
    """Print what a document would change, as a JSON merge patch (`diff`)."""

    command_definition = definitions.DIFF

    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""
        match self.read_file():
            case Failure(refused):
                return self.print_refused(refused)
            case Success(document):
                pass
        async with self.open_store() as store:
            found = await read_config(store)
        if not isinstance(found, StoredConfig):
            return self.print_unreachable(found)
        patch = merge_diff(found.config.plain, to_plain(document))
        self.printer.json(hide_keys(patch))
        return ExitStatus.SUCCESS


def plain_change(change: Change) -> dict:
    """Return a change as plain data, with fingerprints in place of keys."""
    plain = to_plain(change)
    return {**plain, 'patch': hide_keys(plain['patch'])}
