"""Loopback proxies that delay, reset, cut one way or silence connections."""

from abc import ABC, abstractmethod
from enum import Enum, auto, unique

import trio
from attrs import Factory, define

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.2
STEP_SECONDS = 0.02


@unique
class LinkFault(Enum):
    """A fault that a link applies to its connections."""

    NONE = auto()
    #: Data is delayed.
    DELAY = auto()
    #: New and open connections are reset.
    RESET = auto()
    #: Requests are forwarded, but answers are held back.
    CUT_ANSWERS = auto()
    #: Data is held back in both directions.
    SILENCE = auto()


@define(eq=False)
class Path:
    """The path from one instance to all servers."""

    fault: LinkFault = LinkFault.NONE
    streams: set[trio.SocketStream] = Factory(set)

    async def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault to the connections of the instance, or end it with `NONE`."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for stream in list(self.streams):
                await trio.aclose_forcefully(stream)


#: The path of connections whose instance is not known.
NO_PATH = Path()


class Paths(ABC):
    """Interface that finds the path to which an accepted connection belongs."""

    @abstractmethod
    def path_of(self, stream: trio.SocketStream) -> Path:
        """Return the path of the instance that opened a connection."""


@define(eq=False)
class Link:
    """A proxy that forwards connections from its own port to a target port."""

    target_port: int
    port: int = 0
    fault: LinkFault = LinkFault.NONE
    fault_ended: trio.Event = Factory(trio.Event)
    #: Start and end times of past faults.
    fault_spans: list[tuple[float, float]] = Factory(list)
    fault_began: float = 0.0
    streams: set[trio.SocketStream] = Factory(set)
    #: Faults of the paths from single instances; None if all have the same.
    paths: Paths | None = None

    async def open(self, nursery: trio.Nursery) -> None:
        """Start to listen on a port that the kernel chooses."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault to all connections, or end the current one with `NONE`."""
        now = trio.current_time()
        if self.fault is LinkFault.NONE:
            self.fault_began = now
        else:
            self.fault_spans.append((self.fault_began, now))
        self.fault = fault
        if fault is LinkFault.NONE:
            self.fault_ended.set()
            self.fault_ended = trio.Event()
        if fault is LinkFault.RESET:
            for stream in list(self.streams):
                await trio.aclose_forcefully(stream)

    def was_faulty(self, began: float, ended: float) -> bool:
        """Return whether the link had a fault within a span of time."""
        return any(start < ended and began < end for start, end in self.fault_spans)

    async def _serve(self, inbound: trio.SocketStream) -> None:
        self.streams.add(inbound)
        path = self.paths.path_of(inbound) if self.paths else NO_PATH
        try:
            if LinkFault.RESET in (self.fault, path.fault):
                raise trio.BrokenResourceError
            path.streams.add(inbound)
            outbound = await trio.open_tcp_stream('127.0.0.1', self.target_port)
            self.streams.add(outbound)
            async with outbound, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, inbound, outbound, False, path)
                await self._pump(outbound, inbound, True, path)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # Either side may close or reset the connection as part of a fault.
            pass
        finally:
            self.streams.discard(inbound)
            path.streams.discard(inbound)
            await trio.aclose_forcefully(inbound)

    async def _pump(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        answers: bool,
        path: Path,
    ) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            while self._holds_back(answers):
                await self.fault_ended.wait()
            while path.fault is LinkFault.SILENCE:
                await trio.sleep(STEP_SECONDS)
            if self.fault is LinkFault.DELAY:
                await trio.sleep(DELAY_SECONDS)
            await target.send_all(data)
        if not answers:
            await target.send_eof()

    def _holds_back(self, answers: bool) -> bool:
        if self.fault is LinkFault.SILENCE:
            return True
        return answers and self.fault is LinkFault.CUT_ANSWERS
