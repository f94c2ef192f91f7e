"""Measure bytes and processor time of peer exchanges at several fleet sizes."""

import json
import time
from functools import partial
from random import Random

import httpx
import orjson
import trio
from attrs import define

from catkinslip.config.holder import ConfigHolder
from catkinslip.config.topic import ConfigTopic
from catkinslip.control.app import SECRET_HEADER, ControlApi
from catkinslip.core import serve_control
from catkinslip.membership.exchange import PeerExchange
from catkinslip.membership.members import Member, MemberTable
from catkinslip.membership.messages import converter
from catkinslip.membership.protocol import ROUNDS_PER_COMPARISON
from catkinslip.membership.zones import SETTLED_SECONDS

SIZES = (3, 15, 50, 200, 800)
ZONE_SIZE = 50
ROUNDS = 5
EXCHANGES = 60
SECRET = 'x' * 32


@define
class Wire:
    """Count the bytes that pass between a client and a server."""

    target_port: int
    count: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Relay one connection."""
        server = await trio.open_tcp_stream('127.0.0.1', self.target_port)
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self.relay, stream, server)
            await self.relay(server, stream)
            nursery.cancel_scope.cancel()

    async def relay(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        """Relay one direction."""
        while data := await source.receive_some():
            self.count += len(data)
            await sink.send_all(data)


@define
class ShiftedClock:
    """Tell a time at which every view has settled."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic() + 2 * SETTLED_SECONDS


def make_member(number: int, port: int = 1) -> Member:
    """Return one member with addresses of a usual length."""
    return Member(
        member_id=f'entry-{number:04d}',
        incarnation=1_800_000_000_000_000_000 + number,
        zone=f'region-{number // (4 * ZONE_SIZE)}-zone-{number // ZONE_SIZE}',
        address=f'10.20.{number // 250}.{number % 250}:8080',
        control_address=f'127.0.0.1:{port}',
        region=f'region-{number // (4 * ZONE_SIZE)}',
    )


def make_exchange(client, number: int, size: int) -> PeerExchange:
    """Return an instance that knows a whole fleet and has no updates left."""
    config = ConfigHolder()
    table = MemberTable(make_member(number))
    topics = {'config': ConfigTopic(config)}
    exchange = PeerExchange(table, topics, client, Random(number))
    for other in range(size):
        if other != number:
            table.merge(make_member(other))
    table.updates.sent_by_id.clear()
    exchange.protocol.zones.refresh(time.monotonic())
    exchange.clock = ShiftedClock()
    return exchange


async def listen() -> trio.socket.SocketType:
    """Return a socket that listens on a port of the kernel's choice."""
    sock = trio.socket.socket()
    await sock.bind(('127.0.0.1', 0))
    sock.listen(64)
    return sock


async def measure(size: int, result_by_size: dict) -> None:
    """Measure exchanges between two instances of a fleet."""
    headers = {SECRET_HEADER: SECRET}
    async with (
        httpx.AsyncClient(headers=headers) as client,
        trio.open_nursery() as nursery,
    ):
        first = make_exchange(client, 0, size)
        second = make_exchange(client, 1, size)
        sock = await listen()
        api = ControlApi(second, ConfigHolder(), SECRET)
        nursery.start_soon(serve_control, api, sock)
        port = sock.getsockname()[1]
        wire = Wire(port)
        relays = await nursery.start(trio.serve_tcp, wire.serve, 0)
        relay_port = relays[0].socket.getsockname()[1]
        target = second.members.own
        await first.exchange_with(f'127.0.0.1:{relay_port}', target)
        result = result_by_size.setdefault(size, {'bytes': [], 'across': [], 'cpu': []})
        before = wire.count
        count = EXCHANGES
        for _ in range(count):
            await first.exchange_with(f'127.0.0.1:{relay_port}', target)
        result['bytes'].append((wire.count - before) / count)
        before = wire.count
        for _ in range(count):
            await first.exchange_with(f'127.0.0.1:{relay_port}')
        result['across'].append((wire.count - before) / count)
        began = time.process_time()
        for _ in range(count):
            await first.exchange_with(f'127.0.0.1:{port}', target)
        result['cpu'].append((time.process_time() - began) / count)
        before = wire.count
        joining = PeerExchange(
            MemberTable(make_member(size + 1)), {}, client, Random(2)
        )
        await joining.exchange_with(f'127.0.0.1:{relay_port}')
        result['join'] = wire.count - before
        result['learned'] = len(joining.members.member_by_id)
        result['table'] = table_bytes(first)
        nursery.cancel_scope.cancel()
    # The server has closed the descriptor.
    sock.detach()


def table_bytes(exchange: PeerExchange) -> int:
    """Return the size of a message with the whole member table."""
    words = [converter.unstructure(each) for each in exchange.members.live()]
    return len(orjson.dumps(words))


def main() -> None:
    """Print one line a size, then all as JSON."""
    result_by_size: dict[int, dict] = {}
    for _ in range(ROUNDS):
        for size in SIZES:
            trio.run(partial(measure, size, result_by_size))
    print(f'one exchange in {ROUNDS_PER_COMPARISON} compares views')
    summary = {}
    for size, result in result_by_size.items():
        cpu = sorted(result['cpu'])
        summary[size] = {
            'bytes': round(sum(result['bytes']) / ROUNDS),
            'bytes_across_zones': round(sum(result['across']) / ROUNDS),
            'cpu_ms_both_sides': round(cpu[len(cpu) // 2] * 1000, 2),
            'cpu_ms_range': [round(cpu[0] * 1000, 2), round(cpu[-1] * 1000, 2)],
            'whole_table_bytes': result['table'],
            'join_bytes': result['join'],
            'join_learned': result['learned'],
        }
        print(size, summary[size])
    print(json.dumps(summary))


if __name__ == '__main__':
    main()
