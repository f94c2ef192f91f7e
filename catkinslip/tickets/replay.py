"""Keep small whole answers and give them to callers that ask again."""

from typing import Any

import h11
from attrs import Factory, define

from catkinslip.proxy import headers as names
from catkinslip.proxy.wire import Wire
from catkinslip.tickets.table import KeptAnswer

MAX_KEPT_ANSWER_BYTES = 4096
NO_CONTENT = 204
REPLACED = names.REPLACED_IN_ANSWERS | {b'content-length'}


@define(eq=False)
class RecordingWire(Wire):
    """A caller's connection that keeps the answer sent on it, if it is small."""

    response: h11.Response | None = None
    chunks: list[bytes] = Factory(list)
    size: int = 0
    ended: bool = False

    async def send(self, *events: Any) -> None:
        """Send events and keep them."""
        for event in events:
            self._keep(event)
        await Wire.send(self, *events)

    def kept_answer(self) -> KeptAnswer | None:
        """Return the answer if it was whole and small."""
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
    """Send a kept answer."""
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
