"""HTTP request parsing that the stand-in servers share."""

import h11


async def receive(stream, codec) -> tuple[h11.Request | None, bytes]:
    """Return a request's head and body; the head is None if the caller left."""
    head, body = None, b''
    while True:
        event = codec.next_event()
        if event is h11.NEED_DATA:
            codec.receive_data(await stream.receive_some(65536))
        elif type(event) is h11.Request:
            head = event
        elif type(event) is h11.Data:
            body += bytes(event.data)
        elif type(event) is h11.EndOfMessage:
            return head, body
        else:
            return None, b''
