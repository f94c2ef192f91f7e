"""The control surface over HTTP; callers do not reach it."""

import hmac
import logging

import cattrs
import orjson
from attrs import define
from quart import Response, abort, request
from quart_trio import QuartTrio

from catkinslip.control.operators import OperatorPages
from catkinslip.control.paths import SECRET_HEADER
from catkinslip.membership.exchange import (
    PATH,
    PING_PATH,
    PROBE_PATH,
    PeerExchange,
)
from catkinslip.membership.messages import ExchangeMessage, ProbeRequest, converter

#: A configuration of full size and its envelope fit.
MAX_MESSAGE_BYTES = 8 << 20
MALFORMED_ERRORS = (
    cattrs.BaseValidationError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)

log = logging.getLogger('control')


@define
class ControlSurface:
    """Answer peers and operators."""

    peers: PeerExchange
    operators: OperatorPages
    shared_secret: str

    def make_app(self) -> QuartTrio:
        """Return the ASGI application."""
        app = QuartTrio('catkinslip.control')
        app.config['MAX_CONTENT_LENGTH'] = MAX_MESSAGE_BYTES
        app.before_request(self._check_secret)
        app.add_url_rule(PATH, view_func=self._exchange, methods=['POST'])
        self.operators.add_to(app)
        app.add_url_rule(PROBE_PATH, view_func=self._probe, methods=['POST'])
        app.add_url_rule(PING_PATH, view_func=self._ping)
        return app

    async def _check_secret(self) -> Response | None:
        # An answer before the body's end leaves hypercorn's connection unusable.
        await request.get_data()
        given = request.headers.get(SECRET_HEADER, '') or bearer_token()
        if hmac.compare_digest(given.encode(), self.shared_secret.encode()):
            return None
        return Response('The shared secret is missing or wrong.\n', status=403)

    async def _exchange(self) -> Response:
        message = await read_message(ExchangeMessage)
        return json_response(self.peers.receive(message))

    async def _probe(self) -> Response:
        message = await read_message(ProbeRequest)
        return json_response(await self.peers.probe_for_peer(message))

    async def _ping(self) -> str:
        return 'alive\n'


def bearer_token() -> str:
    """Return the bearer token, which Prometheus sends, or an empty text."""
    scheme, _, token = request.headers.get('Authorization', '').partition(' ')
    return token if scheme.lower() == 'bearer' else ''


async def read_message(message_type: type):
    """Read a peer's message; answer 400 when it is malformed."""
    try:
        plain = orjson.loads(await request.get_data())
        return converter.structure(plain, message_type)
    except MALFORMED_ERRORS as error:
        log.warning('control: a malformed message, %r.', error)
        abort(Response('The message is malformed.\n', status=400))


def json_response(message) -> Response:
    """Return a message as the answer's body."""
    body = orjson.dumps(converter.unstructure(message))
    return Response(body, content_type='application/json')
