"""The pages for the platform and for callers: readiness and addresses."""

from urllib.parse import parse_qs

import orjson
from attrs import define

from catkinslip.addresses.zonal import CallerLocation, ZoneAddresses
from catkinslip.discovery.instances import InstanceTable
from catkinslip.pages import Page, PageHandler
from catkinslip.platform.names import READY_PATH, RESOLVE_PATH


@define
class PlatformPages:
    """Handlers of the readiness page and of the address page."""

    instances: InstanceTable
    addresses: ZoneAddresses

    def handlers(self) -> dict[str, PageHandler]:
        """Return the page handlers by path."""
        return {READY_PATH: self.ready, RESOLVE_PATH: self.resolve}

    async def ready(self, query: str) -> Page:
        """Return status 200 if this instance accepts new callers, 503 if not."""
        return Page(200 if self.instances.is_own_ready else 503)

    async def resolve(self, query: str) -> Page:
        """Return the addresses that a caller should use, and for how many seconds."""
        parameters = parse_qs(query)
        own = self.instances.own
        caller = CallerLocation(
            zone=parameters.get('zone', [own.zone])[0],
            region=parameters.get('region', [own.region])[0],
            host=parameters.get('name', [''])[0],
        )
        answer = self.addresses.answer(caller)
        body = {'addrs': answer.addresses, 'ttl_s': answer.lifetime}
        return Page(200, orjson.dumps(body))
