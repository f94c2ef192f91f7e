"""Generators of JSON that another writer may put into the store, sound or not."""

import json

from hypothesis import strategies as st

#: Deeper than any decoder reads.
MAX_NESTING = 5000
#: More digits than Python's limit for whole numbers.
MAX_DIGITS = 5000
#: All characters, also halves of surrogate pairs.
ANY_TEXT = st.text(st.characters(codec=None, exclude_categories=()), max_size=8)
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | ANY_TEXT,
    lambda inner: st.lists(inner) | st.dictionaries(ANY_TEXT, inner),
    max_leaves=8,
)


def nested(depth: int) -> bytes:
    """Return lists in lists as JSON."""
    return b'[' * depth + b']' * depth


def raw_text(data: bytes) -> bytes:
    """Return any bytes as a JSON text, with only the text's end marked by a quote."""
    escaped = data.replace(b'\\', b'\\\\').replace(b'"', b'\\"')
    return b'"%s"' % escaped


def encoded(value: object) -> bytes:
    """Return a value as JSON, with NaN and infinity as Python writes them."""
    return json.dumps(value).encode()


#: JSON texts of values. Lists, objects and texts end where they should, as otherwise
#: the store's own answer would be broken.
VALUE_TEXTS = st.one_of(
    ANY_JSON.map(encoded),
    st.binary(max_size=12).map(raw_text),
    st.integers(1, MAX_NESTING).map(nested),
    st.integers(1, MAX_DIGITS).map(lambda count: b'9' * count),
    st.sampled_from([b'1e999', b'-Infinity', b'nothing', b'01', b'1.', b'[1,,2]']),
)
NAME_TEXTS = ANY_TEXT.map(lambda text: encoded(f'x{text}'))


@st.composite
def object_texts(draw: st.DrawFn, spec: dict) -> bytes:
    """Return the JSON of an object of which a part was replaced by another value."""
    text_by_key = {key: encoded(value) for key, value in spec.items()}
    text_by_key[draw(st.sampled_from([*spec, 'more']))] = draw(VALUE_TEXTS)
    spec_text = draw(st.sampled_from([joined(text_by_key), draw(VALUE_TEXTS)]))
    metadata = joined({'name': draw(NAME_TEXTS), 'revision': b'3'})
    parts = {'metadata': metadata, 'spec': spec_text, 'status': draw(VALUE_TEXTS)}
    parts[draw(st.sampled_from([*parts, 'created']))] = draw(VALUE_TEXTS)
    return draw(st.sampled_from([joined(parts), draw(VALUE_TEXTS)]))


def joined(text_by_key: dict[str, bytes]) -> bytes:
    """Return an object as JSON from the JSON of its values."""
    members = (b'"%s":%s' % (key.encode(), it) for key, it in text_by_key.items())
    return b'{%s}' % b','.join(members)
