"""Messages between instances about rules, backend servers and peers, as JSON."""

import logging
import zlib
from typing import Any

import cattrs
import orjson
from attrs import Factory, frozen
from cattrs.gen import make_dict_unstructure_fn

from catkinslip.config.documents import converter, describe_error
from catkinslip.discovery.base import BackendEntry, InstanceEntry, RuleSet
from catkinslip.discovery.instances import PeerHealth
from catkinslip.discovery.paths import PeerPaths
from catkinslip.discovery.versions import Versions

STATE_PATH = '/peer/state'
#: Queries of the state page: with all known instances, or with the health of the
#: polled ones.
WITH_KNOWN = 'full'
WITH_HEALTH = 'health'
SNAPSHOT_PATH = '/peer/knowledge'
KIND_PATH = '/peer/kind'
#: Page to which a reader of last resort announces itself with its ID.
READER_PATH = '/peer/reader'
#: Page with the whole list of instances, compressed, or with the number of instances
#: that wait for it; a query names the instance that requests it.
LIST_PATH = '/peer/list'
#: Page to which an instance that read the list offers it to a seed, with its address.
OFFER_PATH = '/peer/list-offer'
#: The largest list that is decompressed, some 20,000 instances.
MAX_LIST_BYTES = 4 << 20
READ_ERRORS = (cattrs.BaseValidationError, KeyError, TypeError, ValueError)

log = logging.getLogger('peers')

# Most instances reach all services, and each poll carries their paths.
converter.register_unstructure_hook(
    PeerPaths,
    make_dict_unstructure_fn(PeerPaths, converter, _cattrs_omit_if_default=True),
)


@frozen
class PeerState:
    """The state of an instance, as it answers a poll."""

    instance: InstanceEntry
    is_ready: bool
    rules_version: int
    backends_revision: int
    reaches_store: bool = True
    #: Hash of the known instances.
    members: str = ''
    #: Revision of the store at which the list of the known instances was read.
    list_revision: int = 0
    #: Known instances, if the query requested them.
    known: tuple[InstanceEntry, ...] = ()
    #: Health of the polled instances by ID, if the query requested it.
    health: dict[str, PeerHealth] = Factory(dict)
    #: IDs of the polled instances that do not reach the store.
    lost_store: tuple[str, ...] = ()
    #: IDs of the readers of last resort that it polls, if the query requested health.
    readers: tuple[str, ...] = ()
    #: Revision at which the instance last received a change, by kind.
    revision_by_kind: dict[str, int] = Factory(dict)
    paths: PeerPaths = PeerPaths()
    #: IDs of the polled instances that reach no server.
    cut_off: tuple[str, ...] = ()

    def versions(self) -> Versions:
        """Return the versions of the instance's last changes."""
        return Versions(
            self.rules_version, self.backends_revision, self.revision_by_kind
        )


@frozen
class InstanceList:
    """The list of instances of one instance; its revision is 0 if there is none."""

    revision: int
    instances: tuple[InstanceEntry, ...] = ()
    #: Number of instances that wait for the list of this one.
    waiting: int = 0


@frozen
class NamedBackend:
    """A backend server that changed; the entry None is a removal."""

    name: str
    entry: BackendEntry | None


@frozen
class DiscoverySnapshot:
    """Rules and backend servers of an instance, or those newer than a peer's."""

    #: Rules; None if the peer has them, or if they are too large.
    rules: RuleSet | None
    backends_revision: int
    #: Seconds since an outage of the store ended, as measured by a reader of the store.
    regained_seconds: float | None
    #: Changes since the peer's revision; None if `backends` holds all servers, or if
    #: they are too many.
    changes: tuple[NamedBackend, ...] | None = None
    backends: dict[str, BackendEntry] = Factory(dict)
    #: Whether newer rules are too large to be sent; the peer reads them in the store.
    are_rules_large: bool = False
    #: Whether the peer needs all servers and they are too many to be sent.
    are_backends_large: bool = False


@frozen
class NamedValue:
    """A changed value as plain data; the value None is a removal."""

    name: str
    value: Any


@frozen
class KindUpdate:
    """Newer values of one kind, as plain data."""

    revision: int
    #: Changes since the peer's revision; None if `value_by_name` holds all values.
    changes: tuple[NamedValue, ...] | None = None
    value_by_name: dict[str, Any] = Factory(dict)


def compress_list(instances: InstanceList) -> bytes:
    """Return a list as compressed JSON."""
    return zlib.compress(orjson.dumps(converter.unstructure(instances)), 1)


def decompress_list(body: bytes) -> InstanceList | None:
    """Return a list from compressed JSON; None if it is invalid or too large."""
    try:
        decompressor = zlib.decompressobj()
        plain = orjson.loads(decompressor.decompress(body, MAX_LIST_BYTES))
    except (zlib.error, orjson.JSONDecodeError) as error:
        log.warning('peers: list of instances not readable. error=%r', error)
        return None
    return structure(plain, InstanceList)


def structure(plain: Any, wanted: type) -> Any | None:
    """Return plain data as a value of a class, None if the data does not fit it."""
    if plain is None:
        return None
    try:
        return converter.structure(plain, wanted)
    except READ_ERRORS as error:
        log.warning('peers: answer not readable. error=%s', describe_error(error))
        return None
