"""Base class of the commands that change the configuration."""

import secrets

from catkinslip.cli import options
from catkinslip.cli.change_outcomes import describe_outcome
from catkinslip.cli.configuration import ConfigurationCommand
from catkinslip.cli.in_force import InForceReport
from catkinslip.config.changes import ChangeAccepted, ChangeOutcome, apply_change
from catkinslip.config.documents import ConfigVersion, Document, to_plain
from catkinslip.config.reading import StoredConfig
from catkinslip.status import ExitStatus
from catkinslip.store.base import ObjectStore


class ChangingCommand(ConfigurationCommand):
    """Command that changes the configuration or waits for a change."""

    @property
    def wait(self) -> float | None:
        """Return the seconds to wait until a change is in force; None: no wait."""
        return self.value(options.WAIT)

    async def write(
        self,
        store: ObjectStore,
        base: StoredConfig,
        document: Document,
        raise_epoch: bool = False,
    ) -> ChangeOutcome:
        """Replace the configuration that a document was made from."""
        return await apply_change(
            store,
            base,
            document,
            secrets.token_hex(8),
            self.author,
            made_at=self.environment.clock.wall(),
            raise_epoch=raise_epoch,
        )

    async def finish(self, store: ObjectStore, outcome: ChangeOutcome) -> ExitStatus:
        """Print the outcome and, with `--wait`, wait until the change is in force."""
        if not isinstance(outcome, ChangeAccepted) or self.wait is None:
            return self.print_outcome(outcome)
        config = outcome.config
        if not self.is_json:
            self.print_outcome(outcome)
            return await self.wait_in_force(store, config.version, config.change_id)
        name, _, _, extra = describe_outcome(outcome)
        plain = {'outcome': name, **extra}
        return await self.wait_in_force(store, config.version, config.change_id, plain)

    async def wait_in_force(
        self,
        store: ObjectStore,
        version: ConfigVersion,
        change_id: str,
        plain: dict | None = None,
    ) -> ExitStatus:
        """Wait until a version is in force on every instance; print the result."""
        async with self.open_fleet(store) as fleet:
            report = await fleet.wait_in_force(version, change_id, self.wait or 0)
        if self.is_json:
            self.printer.json({**(plain or {}), **to_plain(report)})
        else:
            self.print_in_force(report, version)
        return ExitStatus.SUCCESS if report.is_complete else ExitStatus.NOT_IN_FORCE

    def print_in_force(self, report: InForceReport, version: ConfigVersion) -> None:
        """Print on how many instances a version is in force, and list the others."""
        count = len(report.in_force)
        if report.is_complete:
            self.printer.line(
                f'Version {version} is in force on all {count} instances.'
            )
            return
        for straggler in report.stragglers:
            self.printer.error(f'Not in force: {straggler}.')
        if not count and not report.stragglers:
            self.printer.error('No instance found; set an address with --control.')
        total = count + len(report.stragglers)
        self.printer.error(
            f'Version {version} is in force on {count} of {total} instances.'
        )

    def print_outcome(self, outcome: ChangeOutcome) -> ExitStatus:
        """Print the outcome of a change and return its exit status."""
        name, status, message, extra = describe_outcome(outcome)
        if self.is_json:
            self.printer.json({'outcome': name, **extra})
        elif status == ExitStatus.SUCCESS:
            self.printer.line(message)
        else:
            self.printer.error(message)
        return status
