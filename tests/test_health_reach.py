"""The evidence from which an instance concludes that it reaches no server."""

import unittest

from attrs import define, field

from catkinslip.health.reach import LAPSE_SECONDS, LOST_SECONDS, ServerReach
from catkinslip.health.sharing import ReportSharer
from catkinslip.models import Address
from catkinslip.routing.base import BackendLoad
from tests.builders import ManualClock
from tests.test_health_tracker import tracker


@define
class ReachCase:
    """The reach of one service with servers in two availability zones."""

    clock: ManualClock = field(factory=ManualClock)
    loads: list[BackendLoad] = field(factory=list)
    reach: ServerReach = field(init=False)
    changes: list[tuple[str, bool]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        if not self.loads:
            self.loads = servers('a', 4) + servers('b', 4)
        self.reach = ServerReach(
            self.clock, lambda service: self.loads, lambda: ['one']
        )
        self.reach.listeners.append(
            lambda service, is_lost: self.changes.append((service, is_lost))
        )

    def fail(self, loads: list[BackendLoad], seconds: float = 0.0) -> None:
        """Record a failure of each server, evenly over some seconds."""
        for load in loads:
            self.reach.record_failure('one', load.backend_id)
            self.clock.now += seconds / len(loads)


def servers(zone: str, count: int) -> list[BackendLoad]:
    """Return the loads of some servers of an availability zone."""
    return [BackendLoad(f'{zone}-{n}', zone, 2) for n in range(count)]


class ServerReachTest(unittest.TestCase):
    """Loss and return of the servers of a service."""

    def test_service_is_lost_when_servers_of_all_zones_fail_in_a_row(self):
        case = ReachCase()
        case.fail(case.loads, 2 * LOST_SECONDS)
        self.assertTrue(case.reach.is_lost('one'))
        self.assertEqual(case.reach.lost_services(), ('one',))
        self.assertEqual(case.changes, [('one', True)])

    def test_answer_of_any_server_ends_the_loss(self):
        case = ReachCase()
        case.fail(case.loads, 2 * LOST_SECONDS)
        case.reach.record_answer('one')
        self.assertFalse(case.reach.is_lost('one'))
        self.assertFalse(case.reach.is_in_doubt('one'))
        self.assertEqual(case.changes, [('one', True), ('one', False)])

    def test_service_is_not_lost_while_one_server_answers_in_between(self):
        case = ReachCase()
        for _ in range(20):
            case.fail(case.loads[:5], LOST_SECONDS)
            case.reach.record_answer('one')
        self.assertEqual(case.changes, [])

    def test_lost_availability_zone_is_no_lost_service(self):
        case = ReachCase()
        case.fail(servers('a', 4) * 5, 5 * LOST_SECONDS)
        self.assertFalse(case.reach.is_lost('one'))
        probed = [each.zone for each in case.reach.servers_to_probe('one')]
        self.assertEqual(probed[0], 'b')

    def test_probes_that_a_paused_process_missed_are_no_loss(self):
        case = ReachCase()
        case.fail(case.loads, 0.0)
        self.assertFalse(case.reach.is_lost('one'))
        self.assertTrue(case.reach.is_in_doubt('one'))

    def test_other_service_is_not_lost(self):
        case = ReachCase()
        case.fail(case.loads, 2 * LOST_SECONDS)
        self.assertFalse(case.reach.is_lost('two'))

    def test_service_with_one_server_is_lost_with_it(self):
        case = ReachCase(loads=servers('a', 1))
        case.fail(case.loads * 3, 2 * LOST_SECONDS)
        self.assertTrue(case.reach.is_lost('one'))

    def test_loss_lapses_when_nothing_is_tried_any_more(self):
        case = ReachCase()
        case.fail(case.loads, 2 * LOST_SECONDS)
        case.clock.now += LAPSE_SECONDS + 0.1
        self.assertFalse(case.reach.is_lost('one'))

    def test_old_failures_add_up_to_no_loss(self):
        case = ReachCase()
        case.fail(case.loads[:7], 0.0)
        case.clock.now += LAPSE_SECONDS + 0.1
        case.fail(case.loads[7:], 0.0)
        self.assertFalse(case.reach.is_lost('one'))

    def test_service_without_usable_servers_is_not_lost(self):
        case = ReachCase()
        case.fail(case.loads[:1], 0.0)
        case.loads = []
        case.clock.now += 2 * LOST_SECONDS
        case.reach.record_failure('one', 'a-0')
        self.assertFalse(case.reach.is_lost('one'))


class WithheldReportTest(unittest.TestCase):
    """Reports of servers to peers while the paths of this instance are in doubt."""

    def setUp(self):
        self.clock = ManualClock()
        self.tracker = tracker(self.clock)
        self.sharer = ReportSharer(
            Address('127.0.0.1', 1),
            list,
            self.tracker.directory,
            self.clock,
            self.tracker.reportable,
        )

    def encode(self) -> bytes | None:
        """Return the datagram after a server turned silent."""
        router = self.tracker.directory.router_by_service['limits']
        router.mark_silent('limits-1')
        self.sharer.queue_load(router.load_by_id['limits-1'])
        return self.sharer.encode()

    def test_partitioned_instance_reported_servers_as_silent(self):
        # Peers then avoided servers that they reached until their own probes.
        for backend_id in ('limits-1', 'limits-2'):
            self.tracker.record_unreached(backend_id)
        self.assertIsNone(self.encode())

    def test_one_silent_server_is_reported(self):
        self.tracker.record_unreached('limits-1')
        self.assertIn(b'limits-1', self.encode())
        self.tracker.record_unreached('limits-2')
        self.tracker.record_reached('limits-2')
        self.assertIn(b'limits-1', self.encode())

    def test_pauses_of_a_partition_do_not_outlive_it(self):
        for _ in range(20):
            self.tracker.record_refusal('limits-1')
            self.tracker.record_refusal('limits-2')
            self.clock.now += 0.1
        self.assertTrue(self.tracker.reach.is_lost('limits'))
        self.tracker.record_reached('limits-2')
        avoided = self.tracker.reachability.avoided_ids(self.clock.now)
        self.assertEqual(avoided, [])
