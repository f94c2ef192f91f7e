"""The daemon's listeners for callers, peers and operators."""

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
    """Failure to open a listener; the text names the settings of its address."""


@frozen
class Listeners:
    """Open listeners for callers, and the socket for peers and operators."""

    callers: list[trio.SocketListener]
    control: trio.socket.SocketType

    @property
    def caller_address(self) -> str:
        """Return the address for callers as host:port."""
        return bound_address(self.callers[0].socket)

    @property
    def control_address(self) -> str:
        """Return the address for peers and operators as host:port."""
        return bound_address(self.control)


async def open_listeners(settings: DaemonSettings) -> Listeners:
    """Open the listeners of the settings; raise ListenError if one cannot be opened."""
    with listen_errors('--listen-host and --listen-port'):
        callers = await trio.open_tcp_listeners(
            settings.listen_port, host=settings.listen_host, backlog=LISTEN_BACKLOG
        )
    with listen_errors('--control-host and --control-port'):
        control = await bind_control(settings)
    return Listeners(callers, control)


@contextmanager
def listen_errors(flags: str) -> Iterator[None]:
    """Raise ListenError for an OSError in the body; `flags` name the settings."""
    try:
        yield
    except OSError as error:
        raise ListenError(f'cannot listen on {flags}: {error.strerror}') from error


def bound_address(sock: trio.socket.SocketType) -> str:
    """Return the address that a socket is bound to, as host:port."""
    host, port = sock.getsockname()[:2]
    return str(Address(host, port))


async def bind_control(settings: DaemonSettings) -> trio.socket.SocketType:
    """Open the listening socket of the control API."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await sock.bind((settings.control_host, settings.control_port))
    sock.listen(LISTEN_BACKLOG)
    return sock


async def serve_control(api: ControlApi, sock: trio.socket.SocketType) -> None:
    """Serve the control API on a listening socket until cancelled."""
    config = HypercornConfig()
    config.bind = [f'fd://{sock.fileno()}']
    config.loglevel = 'WARNING'
    await serve_asgi(api.make_app(), config, shutdown_trigger=trio.sleep_forever)
