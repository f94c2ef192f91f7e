"""The permits of calls on the request path, with scripted servers."""

import unittest
from unittest import mock

from attrs import Factory, define

from catkinslip.platform.dialect import PlatformDialect
from catkinslip.proxy import forwarder as forwarder_module
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.outcomes import Answered, NotRun, Reason, Unknown
from catkinslip.proxy.problems import problem_events
from catkinslip.quotas.base import QuotaGate, WorkspaceUsage
from tests.test_limits_attempts import forward

OVER = NotRun(Reason.OVER_QUOTA, retry_after=0.25)


@define
class CountingGate(QuotaGate):
    """A gate with a number of permits that counts what is taken and given back."""

    permits: int = 10
    taken: int = 0
    returned: list[str] = Factory(list)
    refused_attempts: int = 0

    async def acquire(self, call) -> NotRun | None:
        return None if self._take() else OVER

    def try_acquire(self, workspace: str) -> bool:
        is_taken = self._take()
        self.refused_attempts += not is_taken
        return is_taken

    def release(self, workspace: str, expires_at: float) -> None:
        self.returned.append(workspace)

    def usage(self, workspace: str) -> WorkspaceUsage | None:
        return None

    def _take(self) -> bool:
        if self.taken >= self.permits:
            return False
        self.taken += 1
        return True

    @property
    def used(self) -> int:
        """Return the number of permits that were not given back."""
        return self.taken - len(self.returned)


def forward_with(gate: QuotaGate, scripts: list[str], **fields: object):
    """Forward one call of a workspace on a virtual clock."""
    make = Forwarder

    def make_with_gate(*arguments):
        return make(*arguments, quotas=gate)

    with mock.patch('tests.test_limits_attempts.Forwarder', make_with_gate):
        return forward(scripts, **{'repeatable': True, 'tokens': 10.0, **fields})


class PermitTest(unittest.TestCase):
    """A call holds one permit for each send that may run."""

    def test_answered_call_uses_one(self):
        gate = CountingGate()
        result = forward_with(gate, ['answer'])
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual((gate.taken, gate.used), (1, 1))

    def test_refused_call_reaches_no_server(self):
        gate = CountingGate(permits=0)
        result = forward_with(gate, ['answer'])
        self.assertEqual(result.outcome, OVER)
        self.assertEqual(result.pool.reached, [])
        self.assertEqual(gate.returned, [])

    def test_call_that_did_not_run_gives_its_permit_back_once(self):
        for scripts in (['refuse'], ['shed'], ['shed', 'refuse', 'shed', 'refuse']):
            with self.subTest(scripts=scripts):
                gate = CountingGate()
                result = forward_with(gate, scripts)
                self.assertIsInstance(result.outcome, NotRun)
                self.assertEqual((gate.taken, len(gate.returned)), (1, 1))

    def test_attempts_that_did_not_run_take_no_further_permit(self):
        gate = CountingGate()
        result = forward_with(gate, ['shed', 'refuse', 'answer'])
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual((gate.taken, gate.used), (1, 1))

    def test_retry_after_an_attempt_that_may_have_run_takes_one_more(self):
        gate = CountingGate()
        result = forward_with(gate, ['break', 'answer'])
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual((gate.taken, gate.used), (2, 2))

    def test_no_retry_without_a_permit(self):
        gate = CountingGate(permits=1)
        result = forward_with(gate, ['break', 'answer'])
        self.assertIsInstance(result.outcome, Unknown)
        self.assertEqual(result.pool.reached, ['break'])
        self.assertEqual((gate.used, gate.refused_attempts), (1, 1))

    def test_hedge_takes_one_more(self):
        gate = CountingGate()
        result = forward_with(gate, ['silent', 'answer'])
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual((gate.taken, gate.used), (2, 2))

    def test_no_hedge_without_a_permit(self):
        gate = CountingGate(permits=1)
        result = forward_with(gate, ['slow', 'answer'])
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual(result.pool.reached, ['slow'])

    def test_hedge_that_did_not_run_gives_its_permit_back(self):
        gate = CountingGate()
        result = forward_with(gate, ['slow', 'refuse'])
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual((gate.taken, gate.used), (2, 1))

    def test_deadline_before_the_first_byte_gives_the_permit_back(self):
        gate = CountingGate()
        result = forward_with(gate, ['hang'], repeatable=False)
        self.assertIsInstance(result.outcome, NotRun)
        self.assertEqual(gate.used, 0)

    def test_runs_never_exceed_the_permits_used(self):
        # All pairs of what may happen to the first two attempts.
        scripts = ('answer', 'slow', 'silent', 'break', 'cut', 'shed', 'refuse', 'hang')
        for first in scripts:
            for second in scripts:
                with self.subTest(first=first, second=second):
                    gate = CountingGate()
                    result = forward_with(gate, [first, second])
                    self.assertLessEqual(len(result.pool.ledger), gate.used)

    def test_call_that_is_refused_as_overloaded_gives_its_permit_back(self):
        gate = CountingGate()
        limits = 'catkinslip.limits.service.ServiceLimits.refuse'
        with mock.patch(limits, lambda *_: NotRun(Reason.OVERLOADED)):
            result = forward_with(gate, ['answer'])
        self.assertEqual(result.outcome, NotRun(Reason.OVERLOADED))
        self.assertEqual((gate.taken, gate.used), (1, 0))

    def test_forwarder_without_quotas_asks_no_gate(self):
        result = forward(['answer'], repeatable=True)
        self.assertIsInstance(result.forwarder.quotas, forwarder_module.NoQuotas)


class RefusalTest(unittest.TestCase):
    """Refusals are answered with 429 and the time to come back."""

    def test_platform(self):
        response = PlatformDialect().problem_events(OVER, 'r1')[0]
        self.assertEqual(response.status_code, 429)
        self.assertEqual(dict(response.headers)[b'retry-after'], b'0.250')

    def test_native(self):
        response = problem_events(OVER, 'r1')[0]
        self.assertEqual(response.status_code, 429)
        # In whole seconds, as RFC 9110 has it.
        self.assertEqual(dict(response.headers)[b'retry-after'], b'1')

    def test_time_is_always_there(self):
        unspecified = NotRun(Reason.OVER_QUOTA)
        for events in (
            PlatformDialect().problem_events(unspecified, 'r1'),
            problem_events(unspecified, 'r1'),
        ):
            self.assertIn(b'retry-after', dict(events[0].headers))
