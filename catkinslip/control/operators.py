"""Pages of an instance for operators: status, configuration, metrics and traces."""

from collections.abc import AsyncIterator, Iterable
from typing import Any

import cattrs
import trio
from attrs import define
from quart import Response
from quart_trio import QuartTrio

from catkinslip.config.holder import ConfigHolder
from catkinslip.control.paths import (
    CONFIG_PATH,
    EXPOSITION_PATH,
    METRICS_PATH,
    REQUESTS_PATH,
    STATUS_PATH,
)
from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.members import MemberTable
from catkinslip.metrics.base import Family, MetricSource
from catkinslip.metrics.exposition import CONTENT_TYPE, expose
from catkinslip.metrics.traces import TraceRing
from catkinslip.workspaces.fingerprints import hide_keys


@define
class OperatorPages:
    """HTTP handlers for operators."""

    members: MemberTable
    config: ConfigHolder
    health: HealthTracker
    sources: tuple[MetricSource, ...]
    traces: TraceRing

    def add_to(self, app: QuartTrio) -> None:
        """Register the routes of the pages in an application."""
        app.add_url_rule(STATUS_PATH, view_func=self._status)
        app.add_url_rule(CONFIG_PATH, view_func=self._config)
        app.add_url_rule(METRICS_PATH, view_func=self._metrics)
        app.add_url_rule(EXPOSITION_PATH, view_func=self._exposition)
        app.add_url_rule(f'{REQUESTS_PATH}<request_id>', view_func=self._requests)

    async def _status(self) -> dict[str, Any]:
        current = self.config.current
        return {
            'member': cattrs.unstructure(self.members.own),
            'members': cattrs.unstructure(self.members.live()),
            'config_version': cattrs.unstructure(current.version),
            'change_id': current.change_id,
            'author': current.author,
            'evacuated_zones': list(current.document.rules.evacuated_zones),
            'leaving_backends': self.health.leaving_ids(),
            'health': cattrs.unstructure(self.health.counters),
        }

    async def _config(self) -> dict[str, Any]:
        current = self.config.current
        return {
            'version': str(current.version),
            'change_id': current.change_id,
            'author': current.author,
            'document': hide_keys(current.plain),
        }

    async def _metrics(self) -> dict[str, Any]:
        families = [cattrs.unstructure(each) async for each in self._families()]
        return {'instance': self.members.own.member_id, 'families': families}

    async def _exposition(self) -> Response:
        texts = [expose(family) async for family in self._families()]
        return Response(b''.join(texts), content_type=CONTENT_TYPE)

    async def _requests(self, request_id: str) -> dict[str, Any]:
        return {'traces': self.traces.find(request_id)}

    async def _families(self) -> AsyncIterator[Family]:
        for source in self.sources:
            families: Iterable[Family] = source.families()
            for family in families:
                yield family
                await trio.lowlevel.checkpoint()
