"""Running of an instance on the platform: its listeners, tasks and shutdown."""

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
#: Callers keep an address answer for up to three times its lifetime.
ADDRESS_REUSE_FACTOR = 3
#: The shutdown must end before SIGKILL, so it cuts the requests that still run after
#: this share of the time. In the last sixth, a request may be left unfinished.
STOP_SHARE = 5 / 6
#: The time for the last requests that arrive before idle connections are closed.
LAST_REQUEST_SECONDS = 1.5
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
        await start(nursery, entry, addresses, page_servers)
        gc.freeze()
        await stop.requested.wait()
        await drain(entry)
        nursery.cancel_scope.cancel()


async def start(
    nursery: trio.Nursery,
    entry: Entry,
    addresses: ListenAddresses,
    page_servers: dict[Address, PageServer],
) -> None:
    """Start the listeners and the tasks of an instance."""
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
    await nursery.start(listen, entry.callers.serve, addresses.callers)
    nursery.start_soon(become_ready, entry)


async def listen(
    handler: Handler,
    address: Address,
    wait_seconds: float = ADDRESS_WAIT_SECONDS,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections at an address until cancelled.

    `wait_seconds` is how long an address in use is waited for.
    """
    listeners = await open_listeners(address, wait_seconds)
    task_status.started()
    await trio.serve_listeners(handler, listeners)


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


async def drain(entry: Entry) -> None:
    """Withdraw this instance and wait for its callers' connections to end."""
    began = trio.current_time()
    end = began + entry.settings.stop_seconds * STOP_SHARE
    entry.instances.leave()
    callers = entry.callers.drain
    log.info('lifecycle: stopping. connections=%d', len(callers.open_wires))
    callers.start_closing()
    reuse_seconds = ADDRESS_REUSE_FACTOR * entry.settings.address_lifetime
    with trio.move_on_after(WITHDRAW_TIMEOUT_SECONDS):
        await entry.poller.registration.withdraw()
    await trio.sleep_until(min(began + reuse_seconds, end - LAST_REQUEST_SECONDS))
    callers.close_idle()
    with trio.move_on_at(end):
        await callers.wait_until_closed()
    log.info('lifecycle: stopped. connections=%d', len(callers.open_wires))


async def metrics_page(entry: Entry, query: str) -> Page:
    """Return the page of all metrics in the Prometheus text format."""
    # Imported here, so that only scraped instances load the library into memory.
    from catkinslip.metrics.exposition import expose

    families = [each for source in entry.sources for each in source.families()]
    body = b''.join(expose(family) for family in families)
    return Page(200, body, PLAIN_TEXT)
