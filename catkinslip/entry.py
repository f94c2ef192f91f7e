"""Run an instance: open its listeners, follow the store, serve until told to stop."""

import errno
import gc
import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from attrs import frozen

from catkinslip.lifecycle import StopRequest, listen_for_reload
from catkinslip.models import Address
from catkinslip.pages import Page, PageServer
from catkinslip.wiring.entry import Entry

LISTEN_BACKLOG = 1024
#: Callers keep an address answer up to three times as long as they were told.
KEPT_ANSWERS = 3
#: The end must come before the process is killed; what still runs in the last sixth of
#: the time counts as unfinished for good reason.
STOP_SHARE = 5 / 6
#: Requests that came in last are given this long before connections are closed.
LAST_REQUEST_SECONDS = 1.5
READY_CHECK_SECONDS = 0.02
#: A connection that goes out may hold an address while the instance was down; most of
#: them are gone within seconds.
ADDRESS_WAIT_SECONDS = 10.0
ADDRESS_LOOK_SECONDS = 0.05
#: The store may be away; peers learn of the stop from the next poll all the same.
WITHDRAW_SECONDS = 1.0
PLAIN_TEXT = b'text/plain; version=0.0.4; charset=utf-8'

log = logging.getLogger('lifecycle')

Handler = Callable[[trio.SocketStream], Awaitable[None]]


@frozen
class ListenAddresses:
    """Where an instance listens; several may serve the same pages."""

    callers: Address
    peers: Address
    metrics: Address


async def serve(
    entry: Entry,
    addresses: ListenAddresses,
    page_servers: dict[Address, PageServer],
    reload: Callable[[], None],
) -> None:
    """Serve callers, peers and the platform until told to stop."""
    stop = StopRequest()
    async with trio.open_nursery() as nursery:
        await nursery.start(stop.listen)
        await nursery.start(listen_for_reload, reload)
        await start(nursery, entry, addresses, page_servers)
        gc.freeze()
        await stop.asked.wait()
        await drain(entry)
        nursery.cancel_scope.cancel()


async def start(
    nursery: trio.Nursery,
    entry: Entry,
    addresses: ListenAddresses,
    page_servers: dict[Address, PageServer],
) -> None:
    """Listen, and start the parts that run until the end."""
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
        # Callers are served all the same.
        log.error('lifecycle: no metrics at %s. error=%s', addresses.metrics, error)
    for task in entry.tasks():
        nursery.start_soon(task)
    await nursery.start(listen, entry.callers.serve, addresses.callers)
    nursery.start_soon(become_ready, entry)


async def listen(
    handler: Handler,
    address: Address,
    wait_seconds: float = ADDRESS_WAIT_SECONDS,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections at an address until cancelled."""
    listeners = await open_listeners(address, wait_seconds)
    task_status.started()
    await trio.serve_listeners(handler, listeners)


async def open_listeners(
    address: Address, wait_seconds: float
) -> list[trio.SocketListener]:
    """Open an address, once it is free; OSError if it is not in some seconds."""
    end = trio.current_time() + wait_seconds
    is_told = False
    while True:
        try:
            return await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            if error.errno != errno.EADDRINUSE or trio.current_time() >= end:
                raise
        if not is_told:
            log.warning('lifecycle: waits for an address in use. address=%s', address)
            is_told = True
        await trio.sleep(ADDRESS_LOOK_SECONDS)


async def become_ready(entry: Entry) -> None:
    """Take callers as soon as rules, servers and evacuated zones are known."""
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


async def drain(entry: Entry) -> None:
    """Leave the address answers, let connections end, and wait for the last ones."""
    began = trio.current_time()
    end = began + entry.settings.stop_seconds * STOP_SHARE
    entry.instances.leave()
    callers = entry.callers.drain
    log.info('lifecycle: stops. connections=%d', len(callers.open_wires))
    callers.start_closing()
    kept = KEPT_ANSWERS * entry.settings.address_lifetime
    with trio.move_on_after(WITHDRAW_SECONDS):
        await entry.poller.registration.withdraw()
    await trio.sleep_until(min(began + kept, end - LAST_REQUEST_SECONDS))
    callers.close_idle()
    with trio.move_on_at(end):
        await callers.wait_until_closed()
    log.info('lifecycle: ends. connections=%d', len(callers.open_wires))


async def metrics_page(entry: Entry, query: str) -> Page:
    """Return all measured values in the Prometheus text format."""
    # Only scraped instances pay for the library's memory.
    from catkinslip.metrics.exposition import expose

    families = [each for source in entry.sources for each in source.families()]
    body = b''.join(expose(family) for family in families)
    return Page(200, body, PLAIN_TEXT)
