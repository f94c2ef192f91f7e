"""Builders of test data."""

from attrs import Factory, define
from returns.result import Failure

from catkinslip.config.checks import read_document
from catkinslip.config.documents import AcceptedConfig, ConfigVersion, Document
from catkinslip.config.reading import CONFIG_KEY
from catkinslip.models import Address
from catkinslip.platform.base import AnswerLost, ObjectKey, Unavailable
from catkinslip.platform.embedded import EmbeddedStore


def backend_plain(service: str, address: str, zone: str = 'zone-a') -> dict:
    """Return a backend server of the register as plain data."""
    parsed = Address.parse(address)
    return {
        'service': service,
        'zone': zone,
        'host': parsed.host,
        'port': parsed.port,
    }


def document_plain(
    address_by_backend: dict[str, str], service: str = 'limits', **fields: object
) -> dict:
    """Return a document with one service as plain data."""
    backends = {
        name: backend_plain(service, address)
        for name, address in address_by_backend.items()
    }
    register = {'services': {service: dict(fields)}, 'backends': backends}
    return {'register': register, 'rules': {'requests': []}}


def many_workers(workers: int, services: int, zones: int = 16) -> dict:
    """Return a document of a size as plain data."""
    backends = {
        f'worker-{number:05d}': {
            'service': f'service-{number % services}',
            'zone': f'region-{number % zones // 4}-zone-{number % zones}',
            'host': f'10.{number // 65_536}.{number // 256 % 256}.{number % 256}',
            'port': 8080,
        }
        for number in range(workers)
    }
    names = {f'service-{number}': {} for number in range(services)}
    return {'register': {'services': names, 'backends': backends}}


def document_of(plain: dict) -> Document:
    """Return the document of plain data."""
    return read_document(plain).unwrap()


def config_with(workers: int, number: int = 1, change_id: str = '') -> AcceptedConfig:
    """Return a configuration with some backend servers of one service."""
    document = document_of(many_workers(workers, 1))
    version = ConfigVersion(0, number)
    return AcceptedConfig(version, change_id or f'change-{number}', 'ana', document)


@define
class FaultyStore(EmbeddedStore):
    """Play one fault for each write of the configuration, then none."""

    #: 'lost' takes effect, 'dropped' does not, 'late' does before the third reading;
    #: each is answered with AnswerLost. 'refused' is Unavailable.
    faults: list[str] = Factory(list)
    late: list[tuple] = Factory(list)
    reads: int = 0
    reads_down: int = 0

    async def read(self, key: ObjectKey):
        """Read an object, unless the platform is down."""
        self.reads += 1
        if self.reads_down > 0:
            self.reads_down -= 1
            return Failure(Unavailable('down'))
        if self.late and self.reads >= 3:
            await super().write(*self.late.pop())
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
            return await super().write(key, value, expected_version)
        fault = self.faults.pop(0)
        self.reads = 0
        if fault == 'refused':
            return Failure(Unavailable('down'))
        if fault == 'late':
            self.late.append((key, value, expected_version))
        if fault == 'lost':
            await super().write(key, value, expected_version)
        return Failure(AnswerLost('no answer'))
