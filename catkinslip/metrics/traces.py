"""Traces of recent requests, which show how a request was routed."""

from collections import deque
from typing import Any

from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.proxy.call import Call
from catkinslip.proxy.observer import RequestObserver
from catkinslip.proxy.outcomes import Outcome
from catkinslip.routing.base import Choice
from catkinslip.routing.directory import Directory


@define
class AttemptTrace:
    """Backend server, routing reason and outcome of one attempt; times in seconds."""

    backend_id: str
    reason: object
    candidates: int
    outcome: Outcome | None = None
    seconds: float = 0.0

    def to_plain(self) -> dict[str, Any]:
        """Return the attempt as plain data; its texts are formatted only here."""
        return {
            'backend_id': self.backend_id,
            'reason': str(self.reason),
            'candidates': self.candidates,
            'outcome': outcome_text(self.outcome),
            'seconds': self.seconds,
        }


@define
class RequestTrace:
    """Attempts and outcome of one request on one instance; times in seconds."""

    request_id: str
    service: str
    method: str
    path: str
    repeatable: bool
    began_at: float
    attempts: list[AttemptTrace] = Factory(list)
    outcome: Outcome | None = None
    seconds: float = 0.0

    def to_plain(self) -> dict[str, Any]:
        """Return the trace as plain data; its texts are formatted only here."""
        return {
            'request_id': self.request_id,
            'service': self.service,
            'method': self.method,
            'path': self.path,
            'repeatable': self.repeatable,
            'began_at': self.began_at,
            'attempts': [attempt.to_plain() for attempt in self.attempts],
            'outcome': outcome_text(self.outcome),
            'seconds': self.seconds,
        }


@define
class TraceRing(RequestObserver):
    """Ring buffer of traces of finished requests, and traces of those in flight."""

    instance_id: str
    clock: Clock
    directory: Directory
    ended_traces: deque[RequestTrace]
    trace_by_call: dict[int, RequestTrace] = Factory(dict)

    def on_server_chosen(self, call: Call, choice: Choice, number: int) -> None:
        """Add an attempt on the chosen backend server to the trace of its request.

        The attempt number, which starts at 1, is not recorded.
        """
        trace = self.trace_by_call.get(id(call))
        if trace is None:
            trace = self._new_trace(call)
            self.trace_by_call[id(call)] = trace
        router = self.directory.router_by_service.get(call.service)
        candidates = len(router.load_by_id) if router else 0
        attempt = AttemptTrace(choice.backend_id, choice.reason, candidates)
        trace.attempts.append(attempt)

    def on_attempt_ended(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Record the outcome and the duration in seconds of an attempt."""
        trace = self.trace_by_call.get(id(call))
        if trace is None:
            return
        for attempt in trace.attempts:
            if attempt.backend_id == backend_id and attempt.outcome is None:
                attempt.outcome = outcome
                attempt.seconds = seconds

    def on_request_ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Record the outcome that the caller got and the duration in seconds."""
        trace = self.trace_by_call.pop(id(call), None) or self._new_trace(call)
        trace.outcome = outcome
        trace.seconds = seconds
        self.ended_traces.append(trace)

    def find(self, request_id: str) -> list[dict[str, Any]]:
        """Return all traces of a request as plain data, finished ones first."""
        traces = [*self.ended_traces, *self.trace_by_call.values()]
        return [
            {'instance': self.instance_id, **trace.to_plain()}
            for trace in traces
            if trace.request_id == request_id
        ]

    def _new_trace(self, call: Call) -> RequestTrace:
        return RequestTrace(
            call.request_id,
            call.service,
            call.method.decode('latin-1'),
            call.target.partition(b'?')[0].decode('latin-1'),
            call.repeatable,
            self.clock.wall(),
        )


def outcome_text(outcome: Outcome | None) -> str:
    """Return an outcome as text, or an empty text if there is none yet."""
    return '' if outcome is None else str(outcome)
