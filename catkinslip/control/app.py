"""HTTP control API for peers and operators, on a port that callers do not use."""

import hmac
import logging

import cattrs
import orjson
from attrs import define
from quart import Response, abort, request
from quart_trio import QuartTrio

from catkinslip.config.documents import describe_error
from catkinslip.control.operators import OperatorPages
from catkinslip.control.paths import SECRET_HEADER
from catkinslip.membership.exchange import PATH, PING_PATH, PROBE_PATH, PeerExchange
from catkinslip.membership.messages import ExchangeMessage, ProbeRequest, converter

#: Size limit of a message in bytes; a configuration of maximum size fits with its
#: envelope.
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
class ControlApi:
    """HTTP control API, protected by a shared secret."""

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
        # Hypercorn's connection becomes unusable if a response is sent before the end
        # of the request body.
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
    """Read a message of a peer; abort with status 400 if it is malformed."""
    try:
        plain = orjson.loads(await request.get_data())
        return converter.structure(plain, message_type)
    except MALFORMED_ERRORS as error:
        log.warning(
            'control: rejected a malformed message of a peer, error=%s.',
            describe_error(error),
        )
        abort(Response('The message is malformed.\n', status=400))


def json_response(message) -> Response:
    """Return a JSON response with a message as its body."""
    body = orjson.dumps(converter.unstructure(message))
    return Response(body, content_type='application/json')
