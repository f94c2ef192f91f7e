"""Answers of the store with any mix of sound objects and others."""

import unittest
from collections.abc import Mapping
from typing import Any

import trio
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.discovery.base import Value
from catkinslip.models import Address
from catkinslip.page_client import Reply
from catkinslip.platform import names
from catkinslip.platform.client import StoreClient
from catkinslip.platform.decoding import (
    decode_backend,
    decode_evacuation,
    decode_instance,
    decode_rules,
)
from catkinslip.platform.json_text import load_answer
from catkinslip.platform.sources import KindSource
from tests.platform_builders import config_item, instance_item, server_item
from tests.unsound_json import VALUE_TEXTS, encoded, joined, object_texts

STORE = Address('127.0.0.1', 9)
AS_OF = 7
DECODER_BY_KIND = {
    names.SERVERS_KIND: decode_backend,
    names.INSTANCES_KIND: decode_instance,
    names.EVACUATIONS_KIND: decode_evacuation,
    names.CONFIG_KIND: decode_rules,
}


@frozen
class FixedPages:
    """Client that receives the same answer to each request."""

    body: bytes

    async def send(self, *request: object) -> Reply:
        """Return the answer."""
        return Reply(200, self.body)


def source_of(kind: str, body: bytes) -> KindSource:
    """Return a source of a kind whose store gives one answer."""
    client = StoreClient(STORE, FixedPages(body))
    return KindSource(client, kind, DECODER_BY_KIND[kind])


def sound_item(kind: str, name: str) -> Mapping[str, Any]:
    """Return an object of a kind that its decoder reads."""
    match kind:
        case names.SERVERS_KIND:
            return server_item(name, 'one', 9000)
        case names.INSTANCES_KIND:
            return instance_item(name)
        case _:
            return {**config_item(), 'metadata': {'name': name, 'revision': 2}}


@st.composite
def mixes(draw: st.DrawFn) -> tuple[str, list[bytes], dict[str, Value]]:
    """Return a kind, the texts of its objects, and the values of the sound ones."""
    kind = draw(st.sampled_from(list(DECODER_BY_KIND)))
    decode = DECODER_BY_KIND[kind]
    unsound = object_texts(sound_item(kind, 'x')['spec'])
    texts = draw(st.lists(unsound, min_size=1, max_size=4))
    value_by_name = {}
    for number in range(draw(st.integers(1, 3))):
        item = sound_item(kind, f'i-{number}')
        value_by_name[f'i-{number}'] = decode(f'i-{number}', item)
        texts.insert(draw(st.integers(0, len(texts))), encoded(item))
    return kind, texts, value_by_name


class UnsoundAnswersTest(unittest.TestCase):
    """A value that cannot be read takes only its own object out of an answer."""

    @settings(max_examples=150, deadline=None)
    @given(mixes())
    def test_listing_holds_every_sound_object(self, mix):
        kind, texts, value_by_name = mix
        items = b'[%s]' % b', '.join(texts)
        body = joined({'items': items, 'more': b'false', 'as_of': encoded(AS_OF)})
        listing = trio.run(source_of(kind, body).read_all).unwrap()
        self.assertEqual(listing.revision, AS_OF)
        self.assertLessEqual(value_by_name.items(), listing.value_by_name.items())

    @settings(max_examples=150, deadline=None)
    @given(mixes())
    def test_changes_hold_every_sound_object(self, mix):
        kind, texts, value_by_name = mix
        events = b','.join(
            joined({'object': text, 'tombstone': b'false'}) for text in texts
        )
        body = joined({'events': b'[%s]' % events, 'as_of': encoded(AS_OF)})
        source = source_of(kind, body)
        changes = trio.run(source.wait_for_changes, 1, 1.0).unwrap()
        self.assertEqual(changes.revision, AS_OF)
        self.assertLessEqual(value_by_name.items(), dict(changes.changes).items())

    @settings(max_examples=150, deadline=None)
    @given(st.binary() | VALUE_TEXTS)
    def test_answer_that_is_no_json_at_all_is_refused(self, body):
        try:
            load_answer(body)
        except ValueError:
            return


if __name__ == '__main__':
    unittest.main()
