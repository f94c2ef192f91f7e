"""Kinds of calls that share a small service: decisions, and replays of bursts."""

import unittest

from attrs import evolve

from catkinslip.admission.kinds import (
    MAX_KINDS,
    Kind,
    KindShares,
    KindStanding,
)
from catkinslip.admission.standing import Standing
from catkinslip.admission.waiting import AdmissionSettings, Decision
from catkinslip.routing.base import GOOD_DELAY
from tests.admission_builders import UPLOAD, fair_burst, in_time, kind_load, mean_share
from tests.admission_builders import served as share_served
from tests.test_admission_waiting import WORK, make_call

USUAL = AdmissionSettings()
OFF = evolve(USUAL, shares_kinds=False)
TOLERANT = Kind('upload', 0.11, 1.734, 2)
URGENT = Kind('pledge', 0.072, 0.29, 0)
OTHER = Kind('listing', 0.09, 0.34, 1)
NOW = 50.0


def is_pledge(request) -> bool:
    return request.kind.name == 'pledge'


def is_upload(request) -> bool:
    return request.kind.name == 'upload'


class KindStandingTest(unittest.TestCase):
    """How long a kind waits, and for which servers."""

    def setUp(self):
        self.kinds = KindShares()

    def serve(self, kind: Kind, share: float) -> None:
        for number in range(100):
            self.kinds.served.record(kind.name, number < share * 100, NOW)

    def test_delay_sensitive_kinds_alone_are_decided_as_before(self):
        for kind in (URGENT, OTHER):
            standing = self.kinds.assess(kind, True, NOW)
            self.assertEqual(standing, KindStanding())

    def test_delay_tolerant_kind_waits_longer(self):
        self.assertGreater(self.kinds.assess(TOLERANT, False, NOW).hold_share, 0.5)

    def test_delay_tolerant_kind_leaves_the_last_slots_to_a_delay_sensitive_one(self):
        alone = self.kinds.assess(TOLERANT, True, NOW)
        self.kinds.assess(URGENT, True, NOW)
        beside = self.kinds.assess(TOLERANT, True, NOW)
        self.assertGreater(alone.max_delay, GOOD_DELAY)
        self.assertEqual(beside.max_delay, GOOD_DELAY)

    def test_kind_gives_way_to_a_more_urgent_one_that_is_served_less(self):
        self.kinds.assess(URGENT, True, NOW)
        self.serve(URGENT, 0.7)
        self.serve(TOLERANT, 0.95)
        self.serve(OTHER, 0.95)
        self.assertEqual(self.kinds.assess(TOLERANT, True, NOW).gives_way, 1.0)
        self.assertEqual(self.kinds.assess(OTHER, True, NOW).gives_way, 1.0)
        self.assertEqual(self.kinds.assess(URGENT, True, NOW).gives_way, 0.0)

    def test_nothing_is_given_way_while_servers_have_room(self):
        self.kinds.assess(URGENT, False, NOW)
        self.serve(URGENT, 0.7)
        self.serve(TOLERANT, 0.95)
        self.assertEqual(self.kinds.assess(TOLERANT, False, NOW).gives_way, 0.0)

    def test_kind_that_is_rarely_served_is_put_forward(self):
        self.serve(URGENT, 0.9)
        self.serve(OTHER, 0.2)
        self.assertTrue(self.kinds.assess(OTHER, True, NOW).is_forward)

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_KINDS):
            self.kinds.assess(Kind(str(number), 0.1, 0.4, 0), False, NOW)
        self.assertEqual(len(self.kinds.seen_by_name), MAX_KINDS)


class WaitingTest(unittest.TestCase):
    """A call that waits for a slot."""

    def test_delay_tolerant_call_is_held_though_a_full_server_would_be_in_time(self):
        call = make_call(standing=Standing(hold_share=0.6, max_delay=2.0))
        self.assertIs(call.decide(3.0, WORK, 10.0), Decision.HOLD)
        self.assertIs(call.decide(1.9, WORK, 10.0), Decision.SEND)

    def test_it_is_sent_at_the_end_of_its_wait_unless_it_gives_way(self):
        for is_strict, decision in ((False, Decision.SEND), (True, Decision.REFUSE)):
            standing = Standing(hold_share=0.1, max_delay=2.0, is_strict=is_strict)
            call = make_call(standing=standing)
            self.assertIs(call.decide(3.0, WORK, call.hold_until), decision)


class BurstTest(unittest.TestCase):
    """Replays of bursts on a few servers, which turn calls away when full."""

    def test_burst_of_uploads_waits_for_room(self):
        # 94 uploads a second on 10 servers; without the wait 0.1 of them were refused.
        load = kind_load([UPLOAD], 'upload', 2.6, 10)
        fair = mean_share(in_time, load, USUAL)
        self.assertGreater(fair, mean_share(in_time, load, OFF) + 0.03)

    def test_pledges_are_served_during_a_burst_of_uploads(self):
        load = fair_burst('upload')
        pledges = mean_share(in_time, load, USUAL, is_pledge)
        self.assertGreater(pledges, mean_share(in_time, load, OFF, is_pledge) + 0.1)
        uploads = mean_share(share_served, load, USUAL, is_upload)
        self.assertGreater(mean_share(share_served, load, USUAL, is_pledge), uploads)

    def test_uploads_give_way_to_a_burst_of_pledges(self):
        # 72 pledges a second on 7 servers. The uploads, which can wait, were served
        # more often than the pledges by 0.11 of the requests.
        load = fair_burst('pledge')
        pledges, before = (
            mean_share(share_served, load, settings, is_pledge)
            for settings in (USUAL, OFF)
        )
        self.assertGreater(pledges, before + 0.02)
        uploads = mean_share(share_served, load, USUAL, is_upload)
        self.assertLess(uploads - pledges, 0.05)
        self.assertGreater(uploads, pledges / 4)


if __name__ == '__main__':
    unittest.main()
