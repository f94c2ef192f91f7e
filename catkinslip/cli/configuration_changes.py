"""The commands that change the configuration or wait for a change."""

from abc import abstractmethod

from attrs import evolve
from returns.result import Failure, Result, Success

from catkinslip.cli import definition as definitions
from catkinslip.cli.base import UsageError
from catkinslip.cli.change_outcomes import winner_text
from catkinslip.cli.changing import ChangingCommand
from catkinslip.config.changes import ChangeConflict, rewrite_head
from catkinslip.config.checks import DocumentRefused, read_document
from catkinslip.config.documents import ConfigVersion, Document, to_plain
from catkinslip.config.reading import StoredConfig, read_config
from catkinslip.config.shapes import DocumentMistake
from catkinslip.status import ExitStatus
from catkinslip.store.base import ObjectStore

#: Number of conflicts after which an edit of the configuration is abandoned.
MAX_CONFLICTS = 3


class ApplyCommand(ChangingCommand):
    """Replace the accepted configuration with a document (`apply`)."""

    command_definition = definitions.APPLY

    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""
        match self.read_file():
            case Failure(refused):
                return self.print_refused(refused)
            case Success(document):
                pass
        async with self.open_store() as store:
            base = await read_config(store)
            if not isinstance(base, StoredConfig):
                return self.print_unreachable(base)
            if not self._is_base(base.config.version):
                return self.print_outcome(ChangeConflict(base.head.last))
            raise_epoch = self.option('raise-epoch')
            is_same = base.config.plain == to_plain(document) and not raise_epoch
            if is_same and await rewrite_head(store, base):
                return await self._print_unchanged(store, base)
            outcome = await self.write(store, base, document, raise_epoch)
            return await self.finish(store, outcome)

    def _is_base(self, version: ConfigVersion) -> bool:
        base = self.option('base')
        return base is None or base in (str(version), str(version.number))

    async def _print_unchanged(
        self, store: ObjectStore, base: StoredConfig
    ) -> ExitStatus:
        version = base.config.version
        if self.is_json:
            self.printer.json({'outcome': 'same', 'version': str(version)})
        else:
            self.printer.line(f'Nothing to change: version {version} is this document.')
        if self.wait is None:
            return ExitStatus.SUCCESS
        return await self.wait_in_force(store, version, base.config.change_id)


class EditCommand(ChangingCommand):
    """Edit the accepted configuration; retry when another change came first."""

    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""
        async with self.open_store() as store:
            for _ in range(MAX_CONFLICTS):
                base = await read_config(store)
                if not isinstance(base, StoredConfig):
                    return self.print_unreachable(base)
                document = self.edit(base.config.document)
                if isinstance(document, Failure):
                    return self.print_refused(document.failure())
                is_same = document.unwrap() == base.config.document
                if is_same and await rewrite_head(store, base):
                    return self._print_unchanged(base)
                outcome = await self.write(store, base, document.unwrap())
                if not isinstance(outcome, ChangeConflict):
                    break
                self.printer.error(
                    f'Again, as {winner_text(outcome.winner)} came first.'
                )
            return await self.finish(store, outcome)

    @abstractmethod
    def edit(self, document: Document) -> Result[Document, DocumentRefused]:
        """Return the edited document, or the mistakes that prevent the edit."""

    def _print_unchanged(self, base: StoredConfig) -> ExitStatus:
        version = base.config.version
        if self.is_json:
            self.printer.json({'outcome': 'same', 'version': str(version)})
        else:
            self.printer.line(f'Nothing to change: it is in version {version}.')
        return ExitStatus.SUCCESS


class DrainCommand(EditCommand):
    """Mark a backend server as draining: it gets no new requests (`drain`)."""

    command_definition = definitions.DRAIN
    draining = True

    def edit(self, document: Document) -> Result[Document, DocumentRefused]:
        """Set or clear the draining mark of the server in the register."""
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


class UndrainCommand(DrainCommand):
    """Clear the draining mark of a backend server (`undrain`)."""

    command_definition = definitions.UNDRAIN
    draining = False


class EvacuateCommand(EditCommand):
    """Evacuate a zone: its backend servers get no new requests (`evacuate`)."""

    command_definition = definitions.EVACUATE
    is_evacuated = True

    def edit(self, document: Document) -> Result[Document, DocumentRefused]:
        """Add the zone to the evacuated zones of the rules, or remove it."""
        zone = self.argument('zone')
        zones = set(document.rules.evacuated_zones) - {zone}
        if self.is_evacuated:
            zones.add(zone)
        rules = evolve(document.rules, evacuated_zones=tuple(sorted(zones)))
        return read_document(to_plain(evolve(document, rules=rules)))


class UnevacuateCommand(EvacuateCommand):
    """End the evacuation of a zone (`unevacuate`)."""

    command_definition = definitions.UNEVACUATE
    is_evacuated = False


def parse_version(text: str) -> ConfigVersion:
    """Parse a configuration version; raise UsageError if the text is not one."""
    try:
        return ConfigVersion.parse(text)
    except ValueError as error:
        raise UsageError(f'version: {error}.') from None


class WatchCommand(ChangingCommand):
    """Wait until a version is in force on every instance (`watch`)."""

    command_definition = definitions.WATCH

    async def main(self) -> ExitStatus:
        """Run the command and return its exit status."""
        async with self.open_store() as store:
            text = self.argument('version')
            if text is not None:
                version = parse_version(text)
                return await self.wait_in_force(store, version, '')
            found = await read_config(store)
            if not isinstance(found, StoredConfig):
                return self.print_unreachable(found)
            config = found.config
            return await self.wait_in_force(store, config.version, config.change_id)
