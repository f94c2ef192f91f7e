"""In-process object store that injects the faults of a platform."""

from attrs import Factory, define
from returns.pipeline import is_successful
from returns.result import Failure

from catkinslip.config.reading import CONFIG_KEY
from catkinslip.store.base import AnswerLost, ObjectKey, Unavailable
from catkinslip.store.embedded import EmbeddedStore


@define
class FaultyStore(EmbeddedStore):
    """Embedded store that injects one fault per configuration write."""

    #: Faults for the next writes: 'lost' takes effect, 'dropped' does not, 'late' does
    #: before the third read; each returns AnswerLost. 'refused' returns Unavailable.
    faults: list[str] = Factory(list)
    late: list[tuple] = Factory(list)
    reads: int = 0
    #: Number of reads after which a late write takes effect.
    late_after: int = 3
    #: Values of the configuration object that took effect, in order.
    written: list = Factory(list)
    reads_down: int = 0

    async def read(self, key: ObjectKey):
        """Read an object; fail with Unavailable while reads are down."""
        self.reads += 1
        if self.reads_down > 0:
            self.reads_down -= 1
            return Failure(Unavailable('down'))
        if self.late and self.reads >= self.late_after:
            await self.apply_late_writes()
        return await super().read(key)

    async def wait_for_change(self, key: ObjectKey, known_version: int, wait: float):
        """Wait for a change; fail with Unavailable while reads are down."""
        if self.reads_down > 0:
            self.reads_down -= 1
            return Failure(Unavailable('down'))
        return await super().wait_for_change(key, known_version, wait)

    async def write(self, key: ObjectKey, value, expected_version: int):
        """Write an object and inject the next fault."""
        if key != CONFIG_KEY or not self.faults:
            return await self.apply_write(key, value, expected_version)
        fault = self.faults.pop(0)
        self.reads = 0
        if fault == 'refused':
            return Failure(Unavailable('down'))
        if fault == 'late':
            self.late.append((key, value, expected_version))
        if fault == 'lost':
            await self.apply_write(key, value, expected_version)
        return Failure(AnswerLost('no answer'))

    async def apply_late_writes(self) -> None:
        """Apply all late writes."""
        while self.late:
            await self.apply_write(*self.late.pop())

    async def apply_write(self, key: ObjectKey, value, expected_version: int):
        """Write an object and record a configuration value that took effect."""
        result = await super().write(key, value, expected_version)
        if key == CONFIG_KEY and is_successful(result):
            self.written.append(value)
        return result
