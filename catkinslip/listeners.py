"""Open what callers, peers and operators connect to."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio
from attrs import frozen
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve as serve_asgi

from catkinslip.control.app import ControlApi
from catkinslip.models import Address
from catkinslip.settings.daemon import DaemonSettings

LISTEN_BACKLOG = 1024


class ListenError(Exception):
    """A listener could not be opened; the text names the settings at fault."""


@frozen
class Listeners:
    """What callers connect to, and what peers and operators connect to."""

    callers: list[trio.SocketListener]
    control: trio.socket.SocketType

    @property
    def caller_address(self) -> str:
        """Return host:port for callers."""
        return bound_address(self.callers[0].socket)

    @property
    def control_address(self) -> str:
        """Return host:port for peers and operators."""
        return bound_address(self.control)


async def open_listeners(settings: DaemonSettings) -> Listeners:
    """Listen on the addresses of the settings; raise ListenError if one is taken."""
    with binding('--listen-host and --listen-port'):
        callers = await trio.open_tcp_listeners(
            settings.listen_port, host=settings.listen_host, backlog=LISTEN_BACKLOG
        )
    with binding('--control-host and --control-port'):
        control = await bind_control(settings)
    return Listeners(callers, control)


@contextmanager
def binding(flags: str) -> Iterator[None]:
    """Raise ListenError for an address that cannot be listened on."""
    try:
        yield
    except OSError as error:
        raise ListenError(f'cannot listen on {flags}: {error.strerror}') from error


def bound_address(sock: trio.socket.SocketType) -> str:
    """Return host:port that a socket is bound to."""
    host, port = sock.getsockname()[:2]
    return str(Address(host, port))


async def bind_control(settings: DaemonSettings) -> trio.socket.SocketType:
    """Bind the socket of the control surface."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await sock.bind((settings.control_host, settings.control_port))
    sock.listen(LISTEN_BACKLOG)
    return sock


async def serve_control(api: ControlApi, sock: trio.socket.SocketType) -> None:
    """Serve the control surface on a bound socket."""
    config = HypercornConfig()
    config.bind = [f'fd://{sock.fileno()}']
    config.loglevel = 'WARNING'
    await serve_asgi(api.make_app(), config, shutdown_trigger=trio.sleep_forever)
