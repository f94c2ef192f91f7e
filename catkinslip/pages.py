"""HTTP server for small pages: readiness, addresses, metrics and peers' requests.

It uses the codec of the request path, since quart and hypercorn add 18 MB to a process
(resident size after import, 42 against 24 MB).
"""

import logging
from collections.abc import Awaitable, Callable

import h11
import trio
from attrs import define, frozen

from catkinslip.proxy.answers import drain_body
from catkinslip.proxy.head_checks import origin_form
from catkinslip.proxy.head_reader import HeadReader
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.wire import ConnectionErrors, server_wire

IDLE_TIMEOUT_SECONDS = 15.0
HEAD_TIMEOUT_SECONDS = 3.0

log = logging.getLogger('pages')


@frozen
class Page:
    """Status, body and content type of a page."""

    status: int
    body: bytes = b''
    content_type: bytes = b'application/json'


NOT_FOUND = Page(404)
PageHandler = Callable[[str], Awaitable[Page]]


@define
class PageServer:
    """HTTP server of pages by path; a page's handler receives the query string."""

    handler_by_path: dict[str, PageHandler]
    head_reader: HeadReader = HeadReader(IDLE_TIMEOUT_SECONDS, HEAD_TIMEOUT_SECONDS)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until either side closes it."""
        wire = server_wire(stream)
        try:
            while True:
                request = await self.head_reader.read(wire)
                if not isinstance(request, RequestHead):
                    return
                await drain_body(wire, HEAD_TIMEOUT_SECONDS)
                if wire.must_close:
                    return
                page = await self._handle(request)
                await wire.send(*page_events(page))
                if wire.codec.our_state is not h11.DONE:
                    return
                wire.start_next_cycle()
        except (*ConnectionErrors, h11.ProtocolError) as error:
            log.debug('pages: connection ended. error=%r', error)
        except Exception:
            # A failure of one request must not stop the process.
            log.exception('pages: request failed.')
        finally:
            with trio.CancelScope(shield=True):
                await wire.close()

    async def _handle(self, request: RequestHead) -> Page:
        target = origin_form(request.target).decode('latin-1')
        path, _, query = target.partition('?')
        handler = self.handler_by_path.get(path)
        return NOT_FOUND if handler is None else await handler(query)


def page_events(page: Page) -> list[h11.Event]:
    """Return the events of a page for the codec."""
    headers = [
        (b'content-type', page.content_type),
        (b'content-length', b'%d' % len(page.body)),
    ]
    response = h11.Response(status_code=page.status, headers=headers)
    return [response, h11.Data(data=page.body), h11.EndOfMessage()]
