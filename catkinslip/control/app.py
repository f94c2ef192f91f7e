"""The control surface over HTTP; callers do not reach it."""

import hmac

import cattrs
from attrs import define
from quart import Response, request
from quart_trio import QuartTrio

from catkinslip.config.holder import ConfigHolder
from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.exchange import PATH, ExchangeMessage, PeerExchange

SECRET_HEADER = 'Catkinslip-Secret'


@define
class ControlSurface:
    """Answer peers and operators."""

    peers: PeerExchange
    config: ConfigHolder
    health: HealthTracker
    shared_secret: str

    def make_app(self) -> QuartTrio:
        """Return the ASGI application."""
        app = QuartTrio('catkinslip.control')
        app.before_request(self._check_secret)
        app.add_url_rule(PATH, view_func=self._exchange, methods=['POST'])
        app.add_url_rule('/v1/status', view_func=self._status)
        app.add_url_rule('/v1/config', view_func=self._config)
        return app

    async def _check_secret(self) -> Response | None:
        # An answer before the body's end leaves hypercorn's connection unusable.
        await request.get_data()
        given = request.headers.get(SECRET_HEADER, '')
        if hmac.compare_digest(given.encode(), self.shared_secret.encode()):
            return None
        return Response('The shared secret is missing or wrong.\n', status=403)

    async def _exchange(self) -> dict:
        message = cattrs.structure(await request.get_json(), ExchangeMessage)
        return cattrs.unstructure(self.peers.receive(message))

    async def _status(self) -> dict:
        current = self.config.current
        return {
            'member': cattrs.unstructure(self.peers.members.own),
            'members': cattrs.unstructure(self.peers.members.live()),
            'config_version': cattrs.unstructure(current.version),
            'change_id': current.change_id,
            'leaving_backends': self.health.leaving_ids(),
            'health': cattrs.unstructure(self.health.counters),
        }

    async def _config(self) -> dict:
        current = self.config.current
        return {
            'version': str(current.version),
            'change_id': current.change_id,
            'author': current.author,
            'document': current.plain,
        }
