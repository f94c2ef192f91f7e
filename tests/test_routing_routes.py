"""Routes are found by host and longest path prefix, and split by weight."""

import unittest
from collections import Counter
from random import Random

from catkinslip.config.checks import read_document
from catkinslip.config.documents import Document, Route, Rules, SplitPart
from catkinslip.routing.routes import RouteTable


def route(path: str, *parts: tuple[str, int], host: str = 'a.example') -> Route:
    """Return a route to services with weights."""
    return Route(host, path, tuple(SplitPart(*part) for part in parts))


def table_of(**routes: Route) -> RouteTable:
    """Return the table of some routes by name."""
    table = RouteTable(Random(3))
    table.update(Document(rules=Rules(routes=routes)))
    return table


class RouteTableTest(unittest.TestCase):
    """Which route applies to a request."""

    def test_longest_prefix_of_the_host_wins(self):
        table = table_of(
            short=route('/a/', ('one', 1)),
            long=route('/a/b/', ('two', 1)),
            other=route('/a/b/', ('three', 1), host='b.example'),
        )
        self.assertEqual(table.find('a.example', '/a/b/c').next_service(), 'two')
        self.assertEqual(table.find('a.example', '/a/c').next_service(), 'one')
        self.assertEqual(table.find('B.example', '/a/b/').next_service(), 'three')
        self.assertIsNone(table.find('a.example', '/b/'))
        self.assertIsNone(table.find('c.example', '/a/'))

    def test_split_follows_the_weights_in_any_run_of_requests(self):
        turns = table_of(one=route('/', ('a', 90), ('b', 10))).find('a.example', '/x')
        for _ in range(20):
            counts = Counter(turns.next_service() for _ in range(100))
            self.assertAlmostEqual(counts['b'], 10, delta=1)

    def test_service_without_weight_gets_nothing(self):
        turns = table_of(one=route('/', ('a', 1), ('b', 0))).find('a.example', '/x')
        self.assertEqual({turns.next_service() for _ in range(50)}, {'a'})

    def test_unchanged_route_keeps_its_turns(self):
        table = table_of(one=route('/', ('a', 1), ('b', 1)))
        before = table.find('a.example', '/')
        table.update(Document(rules=Rules(routes=dict(table.document.rules.routes))))
        self.assertIs(table.find('a.example', '/'), before)


class RouteChecksTest(unittest.TestCase):
    """Mistakes in routes are reported with their location."""

    def mistakes(self, **fields: object) -> list[str]:
        plain = {
            'host': 'a.example',
            'path_prefix': '/a/',
            'parts': [{'service': 'limits', 'weight': 1}],
            **fields,
        }
        register = {'services': {'limits': {}}, 'backends': {}}
        document = {'register': register, 'rules': {'routes': {'a': plain}}}
        result = read_document(document)
        return [each.place for each in result.swap().value_or(None).mistakes]

    def test_prefix_begins_and_ends_with_a_slash(self):
        self.assertEqual(
            self.mistakes(path_prefix='/a'), ['rules.routes.a.path_prefix']
        )

    def test_some_service_has_a_weight(self):
        parts = [{'service': 'limits', 'weight': 0}]
        self.assertEqual(self.mistakes(parts=parts), ['rules.routes.a.parts'])

    def test_service_is_in_the_register(self):
        parts = [{'service': 'other', 'weight': 1}]
        self.assertEqual(
            self.mistakes(parts=parts), ['rules.routes.a.parts[0].service']
        )


if __name__ == '__main__':
    unittest.main()
