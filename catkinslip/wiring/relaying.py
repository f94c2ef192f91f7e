"""Construction of the parts that relay requests between instances."""

from collections.abc import Callable
from random import Random
from secrets import token_hex

from attrs import define

from catkinslip.clock import Clock
from catkinslip.discovery.base import InstanceEntry
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.paths import PeerPaths
from catkinslip.health.reach import ServerReach
from catkinslip.proxy.base import CallForwarder
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.stopping import StopGate
from catkinslip.relaying.attempt import OnServerSignals
from catkinslip.relaying.forwarder import RelayingForwarder, TakeResend
from catkinslip.relaying.gate import TOKEN_BYTES, TokenRelayGate
from catkinslip.relaying.peers import RelayPeers


@define
class Relaying:
    """The connected parts that relay requests and accept relayed ones."""

    forwarder: RelayingForwarder
    gate: TokenRelayGate


def wire_relaying(
    own: InstanceEntry,
    forwarder: CallForwarder,
    reach: ServerReach,
    instances: InstanceTable,
    clock: Clock,
    random: Random,
    dialect: Dialect,
    rules_version: Callable[[], int],
    take_resend: TakeResend,
    on_server_signals: OnServerSignals,
    stop_gate: StopGate,
) -> Relaying:
    """Build the parts that relay requests, with a token of this start."""
    gate = TokenRelayGate(token_hex(TOKEN_BYTES), rules_version)
    instances.own_paths = lambda: PeerPaths(
        gate.token, reach.lost_services(), reach.is_cut_off()
    )
    relaying_forwarder = RelayingForwarder(
        own.instance_id,
        forwarder,
        reach,
        RelayPeers(own.zone, random, instances.ready_peers),
        BackendPool(),
        clock,
        dialect,
        rules_version,
        take_resend,
        on_server_signals,
        stop_gate,
    )
    return Relaying(relaying_forwarder, gate)
