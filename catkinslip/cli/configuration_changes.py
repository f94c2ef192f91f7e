"""The commands that change the configuration and follow a change."""

from attrs import evolve
from cleo.helpers import argument, option
from returns.result import Failure, Result, Success

from catkinslip.cli.change_outcomes import tell_winner
from catkinslip.cli.changing import AUTHOR, WAIT, ChangingCommand
from catkinslip.cli.configuration import CONTROL, JSON, PLATFORM
from catkinslip.config.changes import ChangeConflict, confirm
from catkinslip.config.checks import DocumentRefused, read_document
from catkinslip.config.documents import ConfigVersion, Document, to_plain
from catkinslip.config.reading import StoredConfig, read_config
from catkinslip.config.shapes import DocumentMistake
from catkinslip.platform.base import ObjectStore
from catkinslip.status import ExitStatus

DEFAULT_WAIT_SECONDS = '30'
#: Conflicts after which a change of one backend server is given up.
MAX_CONFLICTS = 3


class ApplyCommand(ChangingCommand):
    """Make a document the accepted configuration."""

    name = 'apply'
    description = 'Make a document the accepted configuration.'
    help = (
        'The document replaces the accepted one, unless another change was accepted '
        'since --base. Save the version that `read` shows with the document that you '
        'edit and name it as --base; without it, a change that another operator made '
        'since then is overwritten.\n\n'
        'Example: catkinslip apply document.json --base 0.17 --wait 30'
    )
    arguments = [argument('file', 'JSON document with the register and the rules.')]
    options = [
        PLATFORM,
        CONTROL,
        AUTHOR,
        WAIT,
        JSON,
        option('base', None, 'Version the document was made from.', flag=False),
        option(
            'raise-epoch',
            None,
            'Begin a new epoch, after the platform was restored from a backup.',
        ),
    ]

    async def run_async(self) -> int:
        """Do the command's work."""
        match self.read_file():
            case Failure(refused):
                return self.tell_refused(refused)
            case Success(document):
                pass
        async with self.open_store() as store:
            base = await read_config(store)
            if not isinstance(base, StoredConfig):
                return self.tell_unreachable(base)
            if not self._is_base(base.config.version):
                return self.tell(ChangeConflict(base.head.last))
            raise_epoch = self.option('raise-epoch')
            is_same = base.config.plain == to_plain(document) and not raise_epoch
            if is_same and await confirm(store, base):
                return await self._tell_same(store, base)
            outcome = await self.write(store, base, document, raise_epoch)
            return await self.finish(store, outcome)

    def _is_base(self, version: ConfigVersion) -> bool:
        wanted = self.option('base')
        return wanted is None or wanted in (str(version), str(version.number))

    async def _tell_same(self, store: ObjectStore, base: StoredConfig) -> int:
        version = base.config.version
        if self.option('json'):
            self.print_plain({'outcome': 'same', 'version': str(version)})
        else:
            self.line(f'Nothing to change: version {version} is this document.')
        if self.wait is None:
            return ExitStatus.SUCCESS
        return await self.follow(store, version, base.config.change_id)


class DrainCommand(ChangingCommand):
    """Give a backend server no new work."""

    name = 'drain'
    description = 'Give a backend server no new work; requests in flight finish.'
    arguments = [argument('backend', 'Name of the backend server in the register.')]
    options = [PLATFORM, CONTROL, AUTHOR, WAIT, JSON]
    draining = True

    async def run_async(self) -> int:
        """Do the command's work."""
        async with self.open_store() as store:
            for _ in range(MAX_CONFLICTS):
                base = await read_config(store)
                if not isinstance(base, StoredConfig):
                    return self.tell_unreachable(base)
                document = self._edit(base.config.document)
                if isinstance(document, Failure):
                    return self.tell_refused(document.failure())
                is_same = document.unwrap() == base.config.document
                if is_same and await confirm(store, base):
                    return self._tell_same(base)
                outcome = await self.write(store, base, document.unwrap())
                if not isinstance(outcome, ChangeConflict):
                    break
                self.line_error(f'Again, as {tell_winner(outcome.winner)} came first.')
            return await self.finish(store, outcome)

    def _edit(self, document: Document) -> Result[Document, DocumentRefused]:
        name = self.argument('backend')
        backend = document.register.backends.get(name)
        if backend is None:
            place = f'register.backends.{name}'
            mistake = DocumentMistake(place, 'is not in the register')
            return Failure(DocumentRefused((mistake,)))
        changed = evolve(backend, draining=self.draining)
        backends = {**document.register.backends, name: changed}
        register = evolve(document.register, backends=backends)
        return read_document(to_plain(evolve(document, register=register)))

    def _tell_same(self, base: StoredConfig) -> int:
        version = base.config.version
        if self.option('json'):
            self.print_plain({'outcome': 'same', 'version': str(version)})
        else:
            self.line(f'Nothing to change: so it is in version {version}.')
        return ExitStatus.SUCCESS


class UndrainCommand(DrainCommand):
    """Give a backend server work again."""

    name = 'undrain'
    description = 'Give a drained backend server work again.'
    draining = False


class WatchCommand(ChangingCommand):
    """Wait until a version is in force everywhere."""

    name = 'watch'
    description = 'Wait until a version is in force on every instance.'
    arguments = [
        argument(
            'version', 'Version, such as 0.17; the last one if left out.', optional=True
        )
    ]
    options = [
        PLATFORM,
        CONTROL,
        option(
            'wait',
            None,
            'Seconds to wait.',
            flag=False,
            default=DEFAULT_WAIT_SECONDS,
        ),
        JSON,
    ]

    async def run_async(self) -> int:
        """Do the command's work."""
        async with self.open_store() as store:
            text = self.argument('version')
            if text is not None:
                version = self.parse('version', text, ConfigVersion.parse)
                return await self.follow(store, version, '')
            found = await read_config(store)
            if not isinstance(found, StoredConfig):
                return self.tell_unreachable(found)
            config = found.config
            return await self.follow(store, config.version, config.change_id)
