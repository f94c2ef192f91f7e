"""An object store in one process that plays the faults of a platform."""

from attrs import Factory, define
from returns.pipeline import is_successful
from returns.result import Failure

from catkinslip.config.reading import CONFIG_KEY
from catkinslip.store.base import AnswerLost, ObjectKey, Unavailable
from catkinslip.store.embedded import EmbeddedStore


@define
class FaultyStore(EmbeddedStore):
    """Play one fault for each write of the configuration, then none."""

    #: 'lost' takes effect, 'dropped' does not, 'late' does before the third reading;
    #: each is answered with AnswerLost. 'refused' is Unavailable.
    faults: list[str] = Factory(list)
    late: list[tuple] = Factory(list)
    reads: int = 0
    #: Readings after which a late write lands.
    late_after: int = 3
    #: Each value of the configuration's object that took effect.
    written: list = Factory(list)
    reads_down: int = 0

    async def read(self, key: ObjectKey):
        """Read an object, unless the platform is down."""
        self.reads += 1
        if self.reads_down > 0:
            self.reads_down -= 1
            return Failure(Unavailable('down'))
        if self.late and self.reads >= self.late_after:
            await self.land()
        return await super().read(key)

    async def wait_for_change(self, key: ObjectKey, known_version: int, wait: float):
        """Wait for a change, unless the platform is down."""
        if self.reads_down > 0:
            self.reads_down -= 1
            return Failure(Unavailable('down'))
        return await super().wait_for_change(key, known_version, wait)

    async def write(self, key: ObjectKey, value, expected_version: int):
        """Write an object and play the next fault."""
        if key != CONFIG_KEY or not self.faults:
            return await self.take(key, value, expected_version)
        fault = self.faults.pop(0)
        self.reads = 0
        if fault == 'refused':
            return Failure(Unavailable('down'))
        if fault == 'late':
            self.late.append((key, value, expected_version))
        if fault == 'lost':
            await self.take(key, value, expected_version)
        return Failure(AnswerLost('no answer'))

    async def land(self) -> None:
        """Let the writes that are still on their way arrive."""
        while self.late:
            await self.take(*self.late.pop())

    async def take(self, key: ObjectKey, value, expected_version: int):
        """Write an object and note the change that it holds."""
        result = await super().write(key, value, expected_version)
        if key == CONFIG_KEY and is_successful(result):
            self.written.append(value)
        return result
