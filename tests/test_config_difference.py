"""Tests that applying only the differences gives the state of a fresh start."""

import unittest
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from catkinslip.clock import SystemClock
from catkinslip.config.difference import compare_documents
from catkinslip.config.documents import AcceptedConfig, Document
from catkinslip.health.tracker import HealthTracker, make_tracker
from catkinslip.proxy.pool import BackendPool
from catkinslip.routing.directory import Directory
from catkinslip.routing.policies import LeastInFlight
from tests.builders import document_of

LIMITS = {'service': 'limits', 'port': 1, 'draining': False}
CLAIMS = {**LIMITS, 'service': 'claims'}
BACKENDS = st.dictionaries(
    st.sampled_from('abcd'),
    st.fixed_dictionaries(
        {
            'service': st.sampled_from(('limits', 'claims')),
            'port': st.integers(1, 3),
            'draining': st.booleans(),
        }
    ),
)
OVERRIDES = st.dictionaries(
    st.sampled_from(('limits', 'claims')),
    st.fixed_dictionaries({'max_connections': st.integers(4, 80)}),
)


def document(backends: dict, overrides: dict) -> Document:
    """Return a document with some servers and exactly the services that they run."""
    register = {
        name: {**each, 'zone': 'zone-a', 'host': f'10.0.0.{ord(name)}'}
        for name, each in backends.items()
    }
    services = {each['service']: {} for each in backends.values()}
    rules = {name: each for name, each in overrides.items() if name in services}
    return document_of(
        {
            'register': {'services': services, 'backends': register},
            'rules': {'services': rules},
        }
    )


def server_state(directory: Directory, pool: BackendPool, wanted: Document) -> tuple:
    """Return the state of a directory and a pool for the servers of a document.

    It consists of the loads, the connection limits, and whether the directory has
    exactly the servers of the document.
    """
    loads = {
        (service, backend_id): (load.draining, load.slots)
        for service, router in directory.router_by_service.items()
        for backend_id, load in router.load_by_id.items()
    }
    limits = {
        name: pool.connections_by_address[address].limit
        for name, address in directory.address_by_backend.items()
    }
    return loads, limits, set(wanted.register.backends) == set(limits)


def make_health() -> HealthTracker:
    """Return a health tracker without servers."""
    directory = Directory(lambda: LeastInFlight(Random(1)))
    return make_tracker(directory, SystemClock(), Random(1), max_instances=1)


class ConfigDifferenceTest(unittest.TestCase):
    """Sequences of random documents are applied one after the other."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @example([({'a': LIMITS, 'b': LIMITS}, {}), ({'a': CLAIMS, 'b': LIMITS}, {})])
    @given(st.lists(st.tuples(BACKENDS, OVERRIDES), min_size=1, max_size=5))
    def test_steps_lead_where_a_fresh_start_leads(self, steps):
        directory = Directory(lambda: LeastInFlight(Random(1)))
        pool = BackendPool()
        for backends, overrides in steps:
            wanted = document(backends, overrides)
            directory.update(AcceptedConfig(document=wanted))
            pool.update(AcceptedConfig(document=wanted))
            fresh = Directory(lambda: LeastInFlight(Random(1))), BackendPool()
            for part in fresh:
                part.update(AcceptedConfig(document=wanted))
            self.assertEqual(
                server_state(directory, pool, wanted), server_state(*fresh, wanted)
            )
            self.assertTrue(server_state(directory, pool, wanted)[2])

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(BACKENDS, min_size=1, max_size=5))
    def test_health_tracks_the_servers_of_the_last_step_only(self, steps):
        tracker = make_health()
        for backends in steps:
            wanted = AcceptedConfig(document=document(backends, {}))
            tracker.directory.update(wanted)
            tracker.update(wanted)
            fresh = make_health()
            fresh.directory.update(wanted)
            fresh.update(wanted)
            self.assertEqual(tracker.key_by_id, fresh.key_by_id)
            self.assertEqual(
                tracker.probe_limits_by_service, fresh.probe_limits_by_service
            )
            tracked_keys = tracker.reports.answered_at_by_key
            self.assertEqual(set(tracked_keys), set(tracker.key_by_id.values()))

    def test_equal_documents_differ_in_nothing(self):
        difference = compare_documents(
            document({'a': LIMITS}, {}), document({'a': LIMITS}, {})
        )
        self.assertFalse(difference.backends | difference.services)
