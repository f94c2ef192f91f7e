"""The control surface over HTTP; callers do not reach it."""

import hmac

import cattrs
from attrs import define
from quart import Response, request
from quart_trio import QuartTrio

from catkinslip.control.operators import OperatorPages
from catkinslip.control.paths import SECRET_HEADER
from catkinslip.membership.exchange import PATH, ExchangeMessage, PeerExchange


@define
class ControlSurface:
    """Answer peers and operators."""

    peers: PeerExchange
    operators: OperatorPages
    shared_secret: str

    def make_app(self) -> QuartTrio:
        """Return the ASGI application."""
        app = QuartTrio('catkinslip.control')
        app.before_request(self._check_secret)
        app.add_url_rule(PATH, view_func=self._exchange, methods=['POST'])
        self.operators.add_to(app)
        return app

    async def _check_secret(self) -> Response | None:
        # An answer before the body's end leaves hypercorn's connection unusable.
        await request.get_data()
        given = request.headers.get(SECRET_HEADER, '') or bearer_token()
        if hmac.compare_digest(given.encode(), self.shared_secret.encode()):
            return None
        return Response('The shared secret is missing or wrong.\n', status=403)

    async def _exchange(self) -> dict:
        message = cattrs.structure(await request.get_json(), ExchangeMessage)
        return cattrs.unstructure(self.peers.receive(message))


def bearer_token() -> str:
    """Return the bearer token, which Prometheus sends, or an empty text."""
    scheme, _, token = request.headers.get('Authorization', '').partition(' ')
    return token if scheme.lower() == 'bearer' else ''
