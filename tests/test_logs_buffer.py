"""Buffering of log lines, and the report of dropped ones."""

import errno
import logging
import os
import sys
import unittest

import trio
import trio.testing

from catkinslip.logs.buffer import BufferHandler, LogBuffer
from catkinslip.logs.flush import LogFlusher
from catkinslip.logs.writers import LogWriter, open_writer


class SlowWriter(LogWriter):
    """Writer that accepts a few bytes at once, and none while it has no room."""

    def __init__(self):
        self.written = b''
        self.has_room = True

    def write(self, data: bytes) -> int:
        part = data[:7] if self.has_room else b''
        self.written += part
        return len(part)

    async def wait_writable(self) -> None:
        while not self.has_room:
            await trio.lowlevel.checkpoint()

    def close(self) -> None:
        pass


class FullDiskWriter(SlowWriter):
    """Writer that raises an error while the disk is full."""

    is_full = True

    def write(self, data: bytes) -> int:
        if self.is_full:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return super().write(data)


class CountingBuffer(LogBuffer):
    """Buffer that counts how often lines are requested."""

    reads = 0

    def pop_lines(self, formatter: logging.Formatter, count: int) -> str:
        self.reads += 1
        return super().pop_lines(formatter, count)


def new_logger(buffer: LogBuffer) -> logging.Logger:
    logger = logging.Logger('test')
    logger.addHandler(BufferHandler(buffer))
    return logger


class LogBufferTest(unittest.TestCase):
    """The buffer is bounded; dropped lines are counted and reported."""

    def test_dropped_lines_are_counted_and_reported_once(self):
        buffer = LogBuffer(limit=2)
        logger = new_logger(buffer)
        for number in range(5):
            logger.info('part: line %d.', number)
        self.assertEqual((buffer.accepted, buffer.dropped), (2, 3))
        text = buffer.pop_lines(logging.Formatter(), 10)
        self.assertEqual(
            text, 'part: line 0.\npart: line 1.\nlogs: buffer full, lines_dropped=3.\n'
        )
        self.assertEqual(buffer.pop_lines(logging.Formatter(), 10), '')

    def test_all_lines_are_written_whole_and_in_order_at_the_end(self):
        buffer, writer = LogBuffer(), SlowWriter()
        logger = new_logger(buffer)
        expected = ''.join(f'part: line {number}.\n' for number in range(300))

        async def main():
            flusher = LogFlusher(buffer, writer, logging.Formatter())
            writer.has_room = False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(flusher.run)
                for number in range(300):
                    logger.info('part: line %d.', number)
                    await trio.lowlevel.checkpoint()
                writer.has_room = True
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(writer.written.decode(), expected)

    def test_line_with_half_a_surrogate_pair_ended_the_process(self):
        # Such a line comes from a name of another writer in the store.
        buffer, writer = LogBuffer(), SlowWriter()
        new_logger(buffer).info('name=%s.', 'i-\udcff')
        trio.run(LogFlusher(buffer, writer).flush)
        self.assertIn(b'name=i-\\udcff.', writer.written)

    def test_value_of_another_program_made_lines_of_its_own(self):
        buffer, writer = LogBuffer(), SlowWriter()
        new_logger(buffer).info('name=%s.', 'i-1\nhealth: a false line.\x1b[2J')
        new_logger(buffer).info('name=%s.', 'x' * 1_000_000)
        trio.run(LogFlusher(buffer, writer).flush)
        first, second, end = writer.written.decode().split('\n')
        self.assertTrue(first.endswith('name=i-1\\nhealth: a false line.\\x1b[2J.'))
        self.assertLess(len(second), 5000)
        self.assertEqual(end, '')

    def test_line_that_cannot_be_formatted_ended_the_process(self):
        nested = []
        for _ in range(sys.getrecursionlimit()):
            nested = [nested]
        for value in (nested, 'no number'):
            buffer, writer = LogBuffer(), SlowWriter()
            new_logger(buffer).info('part: a line. value=%d', value)
            new_logger(buffer).info('part: a line. value=%r', value)
            trio.run(LogFlusher(buffer, writer).flush)
            self.assertEqual(writer.written.count(b'value='), 2)

    def test_log_that_cannot_be_written_ended_the_process(self):
        buffer, writer = LogBuffer(), FullDiskWriter()
        logger = new_logger(buffer)

        async def main():
            flusher = LogFlusher(buffer, writer, logging.Formatter())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(flusher.run)
                for number in range(250):
                    logger.info('part: line %d.', number)
                await trio.sleep(1)
                writer.is_full = False
                logger.info('part: the end.')
                await trio.sleep(1)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        lines = writer.written.decode().splitlines()
        self.assertEqual(lines[0], 'part: the end.')
        self.assertIn('No space left on device, lines_dropped=250.', lines[1])

    def test_handler_without_a_lock_kept_instances_from_starting(self):
        # From Python 3.13 on, `logging` uses the lock of a handler unchecked.
        buffer = LogBuffer()
        handler = BufferHandler(buffer)
        with handler.lock:
            new_logger(buffer).info('part: a line.')
        self.assertEqual(buffer.accepted, 1)

    def test_idle_flusher_sleeps_and_writes_the_first_line_at_once(self):
        buffer, writer = CountingBuffer(), SlowWriter()

        async def main():
            flusher = LogFlusher(buffer, writer, logging.Formatter())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(flusher.run)
                await trio.sleep(100)
                self.assertEqual(buffer.reads, 0)
                new_logger(buffer).info('part: a line.')
                await trio.sleep(0.001)
                self.assertEqual(writer.written, b'part: a line.\n')
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_unread_pipe_blocks_neither_the_loop_nor_the_shutdown(self):
        buffer = LogBuffer(limit=1000)
        logger = new_logger(buffer)
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)

        async def main():
            with os.fdopen(writing, 'w') as stream:
                flusher = LogFlusher(buffer, open_writer(stream), logging.Formatter())
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(flusher.run)
                    while not buffer.dropped:
                        logger.info('part: %s.', 'x' * 1000)
                        await trio.lowlevel.checkpoint()
                    nursery.cancel_scope.cancel()
                return os.get_blocking(writing)

        clock = trio.testing.MockClock(autojump_threshold=0)
        self.assertTrue(trio.run(main, clock=clock))
        self.assertGreater(buffer.dropped, 0)
