"""Construction of the metric sources of a daemon."""

from collections import deque

from attrs import frozen

from catkinslip.clock import Clock
from catkinslip.config.holder import ConfigHolder
from catkinslip.logs.buffer import LogBuffer
from catkinslip.membership.members import MemberTable
from catkinslip.metrics.base import MetricSource
from catkinslip.metrics.instance import ConfigMetrics, LogMetrics, LoopLag
from catkinslip.metrics.members import MemberMetrics
from catkinslip.metrics.requests import RequestMetrics
from catkinslip.metrics.subsets import SubsetMetrics
from catkinslip.metrics.traces import TraceRing
from catkinslip.metrics.workspaces import WorkspaceMetrics
from catkinslip.proxy.observer import ObserverGroup, RequestObserver
from catkinslip.proxy.pool import BackendPool
from catkinslip.routing.directory import Directory

MAX_TRACES = 2_000


@frozen
class Metrics:
    """Metric sources, traces and request observer of one daemon."""

    observer: RequestObserver
    traces: TraceRing
    lag: LoopLag
    sources: tuple[MetricSource, ...]

    @classmethod
    def wire(
        cls,
        instance_id: str,
        clock: Clock,
        directory: Directory,
        config: ConfigHolder,
        members: MemberTable,
        log_buffer: LogBuffer,
        pool: BackendPool,
    ) -> 'Metrics':
        """Build the metric sources and subscribe them to configuration changes."""
        requests = RequestMetrics(clock, directory)
        traces = TraceRing(instance_id, clock, directory, deque(maxlen=MAX_TRACES))
        lag = LoopLag(clock)
        config_metrics = ConfigMetrics(clock, config)
        config.listeners.append(config_metrics.record_change)
        workspaces = WorkspaceMetrics(clock)
        sources = (
            requests,
            workspaces,
            config_metrics,
            MemberMetrics(members),
            lag,
            LogMetrics(log_buffer),
            SubsetMetrics(directory, pool),
        )
        observer = ObserverGroup((requests, traces, workspaces))
        return cls(observer, traces, lag, sources)
