"""Running of an instance on the platform: its listeners, tasks and shutdown."""

import errno
import gc
import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from attrs import frozen

from catkinslip.clock import Clock
from catkinslip.lifecycle import StopRequest, listen_for_reload
from catkinslip.models import Address
from catkinslip.pages import Page, PageServer
from catkinslip.proxy.stopping import StopTimes
from catkinslip.stop_budget import plan_stop
from catkinslip.wiring.entry import Entry

LISTEN_BACKLOG = 1024
READY_CHECK_SECONDS = 0.02
#: The time to wait for an address in use. While the instance was down, an outgoing
#: connection may have taken its port; most such connections end within seconds.
ADDRESS_WAIT_SECONDS = 10.0
ADDRESS_RETRY_SECONDS = 0.05
#: The time limit for removing this instance's entry from the store, which may be
#: unreachable. Peers receive the stop with their next poll in any case.
WITHDRAW_TIMEOUT_SECONDS = 1.0
PLAIN_TEXT = b'text/plain; version=0.0.4; charset=utf-8'

log = logging.getLogger('lifecycle')

Handler = Callable[[trio.SocketStream], Awaitable[None]]


@frozen
class ListenAddresses:
    """The addresses on which an instance listens for callers, peers and metrics."""

    callers: Address
    peers: Address
    metrics: Address


async def serve(
    entry: Entry,
    addresses: ListenAddresses,
    page_servers: dict[Address, PageServer],
    reload: Callable[[], None],
) -> None:
    """Serve callers, peers and the platform until a signal stops the instance."""
    stop = StopRequest()
    async with trio.open_nursery() as nursery:
        await nursery.start(stop.listen)
        await nursery.start(listen_for_reload, reload)
        accepting = await start(nursery, entry, addresses, page_servers)
        gc.freeze()
        await stop.requested.wait()
        await drain(entry, accepting)
        nursery.cancel_scope.cancel()


async def start(
    nursery: trio.Nursery,
    entry: Entry,
    addresses: ListenAddresses,
    page_servers: dict[Address, PageServer],
) -> trio.CancelScope:
    """Start the listeners and the tasks of an instance.

    Return the scope in which connections of callers are accepted.
    """
    pages = {
        **page_servers,
        addresses.peers: entry.peer_pages,
    }
    for address, server in pages.items():
        await nursery.start(listen, server.serve, address)
    metrics = PageServer({'/metrics': partial(metrics_page, entry)})
    try:
        await nursery.start(listen, metrics.serve, addresses.metrics, 0.0)
    except OSError as error:
        # Callers are served without metrics, too.
        log.error('lifecycle: no metrics at %s. error=%s', addresses.metrics, error)
    for task in entry.tasks():
        nursery.start_soon(task)
    listen_for_callers = partial(listen, handler_nursery=nursery)
    accepting = await nursery.start(
        listen_for_callers, entry.callers.serve, addresses.callers
    )
    nursery.start_soon(become_ready, entry)
    return accepting


async def listen(
    handler: Handler,
    address: Address,
    wait_seconds: float = ADDRESS_WAIT_SECONDS,
    handler_nursery: trio.Nursery | None = None,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections at an address until the scope that is started is cancelled.

    `wait_seconds` is how long an address in use is waited for. Connections are served
    in `handler_nursery`, if there is one, beyond the end of the scope.
    """
    listeners = await open_listeners(address, wait_seconds)
    with trio.CancelScope() as scope:
        task_status.started(scope)
        await trio.serve_listeners(handler, listeners, handler_nursery=handler_nursery)


async def open_listeners(
    address: Address, wait_seconds: float
) -> list[trio.SocketListener]:
    """Open listeners at an address, waiting for the address if it is in use.

    Raises OSError if it is still in use after `wait_seconds`, or cannot be opened.
    """
    end = trio.current_time() + wait_seconds
    is_logged = False
    while True:
        try:
            return await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            if error.errno != errno.EADDRINUSE or trio.current_time() >= end:
                raise
        if not is_logged:
            log.warning('lifecycle: waiting for an address in use. address=%s', address)
            is_logged = True
        await trio.sleep(ADDRESS_RETRY_SECONDS)


async def become_ready(entry: Entry) -> None:
    """Mark this instance ready once it has rules, servers and evacuated zones."""
    while not entry.has_startup_data:
        await trio.sleep(READY_CHECK_SECONDS)
    if entry.callers.drain.is_closing:
        return
    entry.instances.is_own_ready = True
    log.info(
        'lifecycle: ready. rules=%08x backends=%d',
        entry.assembler.rules_version,
        len(entry.assembler.current_backends),
    )


async def drain(entry: Entry, accepting: trio.CancelScope) -> None:
    """Withdraw this instance and wait for its callers' connections to end.

    `accepting` is the scope in which connections of callers are accepted.
    """
    callers, gate = entry.callers.drain, entry.callers.stop_gate
    clock = entry.callers.environment.clock
    settings = entry.settings
    times = plan_stop(
        clock.monotonic(),
        settings.stop_seconds,
        settings.unsure_stop_seconds,
        settings.address_lifetime,
    )
    log_stop(entry, times, clock.monotonic())
    gate.start(times)
    entry.instances.leave()
    callers.start_closing()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(withdraw, entry)
        await sleep_until(clock, times.unsure_until)
        gate.end_waits(clock.monotonic())
        await sleep_until(clock, times.last_request)
    accepting.cancel()
    log.info(
        'lifecycle: no connections are accepted any more. connections=%d',
        len(callers.open_wires),
    )
    with trio.move_on_after(max(0.0, times.cut_at - clock.monotonic())):
        await callers.close_idle()
        await callers.wait_until_closed()
    log.info(
        'lifecycle: stopped. connections=%d refused=%d',
        len(callers.open_wires),
        gate.refused,
    )


def log_stop(entry: Entry, times: StopTimes, now: float) -> None:
    """Log the start of a stop and the moments of it."""
    log.info(
        'lifecycle: stopping. connections=%d unsure_s=%.2f last_request_s=%.2f '
        'cut_s=%.2f',
        len(entry.callers.drain.open_wires),
        times.unsure_until - now,
        times.last_request - now,
        times.cut_at - now,
    )


async def withdraw(entry: Entry) -> None:
    """Remove the entry of this instance from the store, if that succeeds in time."""
    with trio.move_on_after(WITHDRAW_TIMEOUT_SECONDS):
        await entry.poller.registration.withdraw()


async def sleep_until(clock: Clock, moment: float) -> None:
    """Sleep until a moment on the monotonic clock, in seconds."""
    await trio.sleep(max(0.0, moment - clock.monotonic()))


async def metrics_page(entry: Entry, query: str) -> Page:
    """Return the page of all metrics in the Prometheus text format."""
    # Imported here, so that only scraped instances load the library into memory.
    from catkinslip.metrics.exposition import expose

    families = [each for source in entry.sources for each in source.families()]
    body = b''.join(expose(family) for family in families)
    return Page(200, body, PLAIN_TEXT)
