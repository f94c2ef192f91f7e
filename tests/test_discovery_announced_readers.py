"""Tests of readers of last resort that announced themselves."""

import unittest

from catkinslip.discovery.announced_readers import (
    ANNOUNCED_SECONDS,
    AnnouncedReaders,
)
from catkinslip.discovery.readers import READERS


class AnnouncedReadersTest(unittest.TestCase):
    """The announcements at one leader."""

    def setUp(self):
        self.readers = AnnouncedReaders()

    def test_announcement_expires_unless_it_is_renewed(self):
        """Guards against instances that rely on a reader that has ended."""
        self.assertTrue(self.readers.add('one', 0.0))
        self.assertFalse(self.readers.add('one', 1.0))
        self.assertEqual(self.readers.ids(ANNOUNCED_SECONDS), ['one'])
        self.assertEqual(self.readers.ids(1.0 + ANNOUNCED_SECONDS), [])

    def test_number_of_announced_readers_is_bounded(self):
        """Guards against a leader that polls all instances of a large zone."""
        for number in range(2 * READERS):
            self.readers.add(f'i{number}', 0.0)
        self.assertEqual(len(self.readers.ids(0.5)), READERS)
        self.assertTrue(self.readers.add('late', ANNOUNCED_SECONDS))


if __name__ == '__main__':
    unittest.main()
