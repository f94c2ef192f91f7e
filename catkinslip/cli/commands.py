"""The commands of the tool."""

import secrets
from pathlib import Path

import httpx
import orjson
import trio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure, Success

from catkinslip.config.changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeNotMade,
    StoredConfig,
    apply_change,
    read_config,
)
from catkinslip.config.checks import read_document
from catkinslip.config.documents import to_plain
from catkinslip.control.app import SECRET_HEADER
from catkinslip.environment import Environment
from catkinslip.platform.http import HttpStore
from catkinslip.status import ExitStatus

TIMEOUT_SECONDS = 5.0

PLATFORM = option('platform-url', None, 'URL of the object API.', flag=False)


class BaseCommand(Command):
    """A command with an environment."""

    def __init__(self, environment: Environment) -> None:
        super().__init__()
        self.environment = environment

    def platform_client(self) -> httpx.AsyncClient:
        """Return a client of the platform."""
        variables = self.environment.variables
        url = self.option('platform-url') or variables.get('CATKINSLIP_PLATFORM_URL')
        return httpx.AsyncClient(base_url=url or '', timeout=TIMEOUT_SECONDS)

    def print_plain(self, plain: object) -> None:
        """Print plain data as JSON."""
        text = orjson.dumps(plain, option=orjson.OPT_INDENT_2).decode()
        print(text, file=self.environment.stdout)


class ReadCommand(BaseCommand):
    """Print the accepted configuration."""

    name = 'read'
    description = 'Print the accepted configuration.'
    options = [PLATFORM]

    def handle(self) -> int:
        """Run the command."""
        return trio.run(self._read)

    async def _read(self) -> int:
        async with self.platform_client() as client:
            found = await read_config(HttpStore(client, TIMEOUT_SECONDS))
        if not isinstance(found, StoredConfig):
            self.line_error(f'The platform did not answer: {found}.')
            return ExitStatus.UNREACHABLE
        self.print_plain(to_plain(found.config))
        return ExitStatus.SUCCESS


class ApplyCommand(BaseCommand):
    """Make a document the accepted configuration."""

    name = 'apply'
    description = 'Make a document the accepted configuration.'
    arguments = [argument('file', 'JSON document with the register and the rules.')]
    options = [
        PLATFORM,
        option('base', None, 'Version number the document was made from.', flag=False),
        option('author', None, 'Who makes the change.', flag=False, default='operator'),
    ]

    def handle(self) -> int:
        """Run the command."""
        plain = orjson.loads(Path(self.argument('file')).read_bytes())
        match read_document(plain):
            case Failure(refused):
                for mistake in refused.mistakes:
                    self.line_error(f'{mistake.place}: {mistake.reason}.')
                return ExitStatus.REJECTED
            case Success(document):
                return trio.run(self._apply, document)

    async def _apply(self, document) -> int:
        async with self.platform_client() as client:
            store = HttpStore(client, TIMEOUT_SECONDS)
            base = await read_config(store)
            if not isinstance(base, StoredConfig):
                self.line_error(f'The platform did not answer: {base}.')
                return ExitStatus.UNREACHABLE
            wanted = self.option('base')
            if wanted is not None and int(wanted) != base.config.version.number:
                return self._tell(ChangeConflict(base.config))
            change_id = secrets.token_hex(8)
            author = self.option('author')
            return self._tell(
                await apply_change(store, base, document, change_id, author)
            )

    def _tell(self, outcome) -> int:
        match outcome:
            case ChangeAccepted(config):
                self.line(f'Accepted as version {config.version.number}.')
                return ExitStatus.SUCCESS
            case ChangeConflict(winner):
                self.line_error(
                    f'Not changed: version {winner.version.number} '
                    f'by {winner.author} came first.'
                )
                return ExitStatus.CONFLICT
            case ChangeNotMade(reason):
                self.line_error(f'Not changed: {reason}.')
                return ExitStatus.UNREACHABLE
        self.line_error(f'Unknown whether the change was accepted: {outcome}.')
        return ExitStatus.UNKNOWN


class StatusCommand(BaseCommand):
    """Show the status of one instance."""

    name = 'status'
    description = 'Show the status of one instance.'
    options = [
        option('control', None, 'Control address of an instance.', flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        variables = self.environment.variables
        secret = variables.get('CATKINSLIP_SHARED_SECRET', '')
        address = self.option('control') or variables.get('CATKINSLIP_CONTROL')
        try:
            response = httpx.get(
                f'http://{address}/v1/status', headers={SECRET_HEADER: secret}
            )
        except httpx.HTTPError as error:
            self.line_error(f'{address} did not answer: {error!r}.')
            return ExitStatus.UNREACHABLE
        self.print_plain(response.json())
        return ExitStatus.SUCCESS
