"""Decisions about pipelined requests: which start early, and how many bytes are held.

The load: callers that send further idempotent requests on a connection before the
first answer, from thousands of connections to an instance with little memory.
"""

from abc import ABC, abstractmethod
from enum import Enum, auto, unique

import h11
from attrs import define, frozen

from catkinslip.proxy import headers as names
from catkinslip.proxy.bodies import MAX_BUFFERED_BODY_BYTES, declared_length
from catkinslip.proxy.head_reader import extract_head, parse_head
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.wire import RECEIVE_SIZE, server_codec

#: Share of a connection's bytes that requests may use, so that some are left for
#: answers.
REQUEST_SHARE = 0.5
#: Memory of an event and its headers besides the bytes of a body.
EVENT_BYTES = 256
#: Memory of a request in flight besides its bytes, with the second task of its
#: connection, rounded up (docs/design/pipelining.md). It is counted for the instance:
#: 4 MiB allow 256 pipelined requests at once.
REQUEST_BYTES = 16 << 10


@frozen
class PipelineLimits:
    """Limits on pipelined requests; 1 request for a connection disables them."""

    max_requests: int
    max_connection_bytes: int
    max_instance_bytes: int

    @property
    def is_enabled(self) -> bool:
        """Return whether requests may start before their turn."""
        return self.max_requests > 1


@unique
class SplitFailure(Enum):
    """Reasons why no request can be split off the bytes of a connection."""

    #: More bytes are needed.
    INCOMPLETE = auto()
    #: The request must be read in its turn: it is malformed, or not whole in memory.
    IN_TURN = auto()


@frozen
class SplitRequest:
    """A whole request from the bytes of a connection, with a codec of its own."""

    head: RequestHead
    body: bytes
    codec: h11.Connection
    size: int

    @property
    def is_last(self) -> bool:
        """Return whether the caller closes the connection after this request."""
        return self.codec.their_state is not h11.DONE


def split_request(data: bytes) -> SplitRequest | SplitFailure:
    """Return the whole request at the start of the data, or why there is none."""
    head = extract_head(data)
    if head is None:
        return SplitFailure.INCOMPLETE
    if not isinstance(head, bytes):
        return SplitFailure.IN_TURN
    codec = server_codec()
    codec.receive_data(head)
    request = parse_head(codec, head)
    if not isinstance(request, RequestHead) or must_wait(request):
        return SplitFailure.IN_TURN
    size = len(head) + (declared_length(request) or 0)
    if len(data) < size:
        return SplitFailure.INCOMPLETE
    body = bytes(data[len(head) : size])
    codec.receive_data(body)
    while type(codec.next_event()) is not h11.EndOfMessage:
        pass
    return SplitRequest(request, body, codec, size)


def must_wait(request: RequestHead) -> bool:
    """Return whether the body of a request must be read in the turn of the request."""
    if names.find(request.headers, b'transfer-encoding') is not None:
        return True
    if names.find(request.headers, b'expect') is not None:
        return True
    return (declared_length(request) or 0) > MAX_BUFFERED_BODY_BYTES


def size_of(event: object) -> int:
    """Return the approximate memory of an event of an answer, in bytes."""
    size = EVENT_BYTES
    if type(event) is h11.Data:
        size += len(event.data)
    elif type(event) is h11.Response:
        size += sum(len(name) + len(value) for name, value in event.headers)
    return size


@define
class InstanceBytes:
    """Bytes of pipelined requests and held answers of all connections."""

    limit: int
    held: int = 0

    def has_room(self) -> bool:
        """Return whether another request may start before its turn."""
        return self.held + REQUEST_BYTES <= self.limit


@define
class ConnectionBytes:
    """Bytes of pipelined requests and held answers of one connection."""

    limit: int
    instance: InstanceBytes
    requests: int = 0
    answers: int = 0
    #: Number of requests that started before their turn.
    started: int = 0

    def room_for_requests(self) -> int:
        """Return how many bytes of requests may be read."""
        share = int(self.limit * REQUEST_SHARE) - self.requests
        own = self.limit - self.requests - self.answers
        common = self.instance.limit - self.instance.held
        return max(0, min(share, own, common, RECEIVE_SIZE))

    def start_request(self) -> bool:
        """Count a request that starts before its turn and return True if it fits."""
        if not self.instance.has_room():
            return False
        self.started += 1
        self.instance.held += REQUEST_BYTES
        return True

    def end_request(self, size: int) -> None:
        """Count a started request of this size as no longer held."""
        self.started -= 1
        self.instance.held -= REQUEST_BYTES
        self.remove_request(size)

    def add_request(self, size: int) -> None:
        """Count bytes of requests that were read."""
        self.requests += size
        self.instance.held += size

    def remove_request(self, size: int) -> None:
        """Count bytes of requests that are no longer held."""
        self.requests -= size
        self.instance.held -= size

    def hold_answer(self, size: int) -> bool:
        """Count bytes of an answer and return True if they fit."""
        if self.requests + self.answers + size > self.limit:
            return False
        if self.instance.held + size > self.instance.limit:
            return False
        self.answers += size
        self.instance.held += size
        return True

    def remove_answer(self, size: int) -> None:
        """Count bytes of an answer that are no longer held."""
        self.answers -= size
        self.instance.held -= size

    def clear(self) -> None:
        """Count all bytes of the connection as no longer held."""
        self.instance.held -= self.requests + self.answers
        self.instance.held -= self.started * REQUEST_BYTES
        self.requests = self.answers = self.started = 0


class FollowingRequests(ABC):
    """Interface of the requests behind the one that is answered."""

    @abstractmethod
    def has_requests(self) -> bool:
        """Return whether a request behind the one that is answered was started."""
