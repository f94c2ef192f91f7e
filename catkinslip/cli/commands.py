"""The commands of the tool."""

import httpx
import orjson
from cleo.commands.command import Command
from cleo.helpers import option

from catkinslip.control.app import SECRET_HEADER
from catkinslip.environment import Environment
from catkinslip.status import ExitStatus

TIMEOUT_SECONDS = 5.0


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
