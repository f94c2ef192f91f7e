"""Storage of small complete answers and their replay to repeated requests."""

from typing import Any

import h11
from attrs import Factory, define, field

from catkinslip.proxy import headers as names
from catkinslip.proxy.wire import Wire
from catkinslip.tickets.table import KeptAnswer

#: Maximum size of a kept answer, in bytes.
MAX_KEPT_ANSWER_BYTES = 4096
NO_CONTENT = 204
#: Headers of an answer that are not kept: hop-by-hop ones and those that a replay sets.
REPLACED = names.REPLACED_IN_ANSWERS | {b'content-length'}


@define(eq=False)
class RecordingWire(Wire):
    """A caller's connection that keeps the answer sent over it, if it is small."""

    #: The connection, which knows what is written on it and whether it closes.
    caller: Wire = field(kw_only=True)
    response: h11.Response | None = None
    chunks: list[bytes] = Factory(list)
    size: int = 0
    ended: bool = False

    async def send(self, *events: Any) -> None:
        """Keep the events of an answer and send them to the caller."""
        for event in events:
            self._keep(event)
        await self.caller.send(*events)

    def kept_answer(self) -> KeptAnswer | None:
        """Return the answer if it is complete and small, else None."""
        if self.response is None or not self.ended:
            return None
        headers = tuple(names.end_to_end(self.response.headers, REPLACED))
        answer = KeptAnswer(self.response.status_code, headers, b''.join(self.chunks))
        return answer if answer.size() <= MAX_KEPT_ANSWER_BYTES else None

    def _keep(self, event: Any) -> None:
        match event:
            case h11.Response():
                self.response = event
            case h11.Data():
                self.size += len(event.data)
                if self.size <= MAX_KEPT_ANSWER_BYTES:
                    self.chunks.append(bytes(event.data))
            case h11.EndOfMessage():
                self.ended = self.size <= MAX_KEPT_ANSWER_BYTES


async def send_replay(answer: KeptAnswer, caller: Wire, request_id: str) -> None:
    """Send a kept answer to a caller, marked as replayed."""
    headers = [
        *answer.headers,
        (names.REQUEST_ID, request_id.encode()),
        (names.REPLAYED, b'true'),
    ]
    if answer.status != NO_CONTENT:
        headers.append((b'content-length', b'%d' % len(answer.body)))
    await caller.send(
        h11.Response(status_code=answer.status, headers=headers),
        h11.Data(data=answer.body),
        h11.EndOfMessage(),
    )
