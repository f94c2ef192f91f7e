"""The report of an error that ends a process."""

import io
import unittest

import trio
from attrs import define

from catkinslip.logs.ends import report_end


@define
class Reader:
    """Part with a task that ends by an error."""

    value: str

    async def run(self) -> None:
        """Raise an error in a task of its own."""
        self.read()

    def read(self) -> None:
        """Raise an error that holds a value of another program."""
        raise KeyError(self.value)


async def serve(values: list[str]) -> None:
    """Run a task for each value, in a nursery within another."""
    async with trio.open_nursery() as outer, trio.open_nursery() as nursery:
        outer.start_soon(trio.sleep, 0)
        for value in values:
            nursery.start_soon(Reader(value).run)


class EndTest(unittest.TestCase):
    """The last lines of a log tell why a process ended."""

    def report_of(self, *values: str) -> list[str]:
        stream = io.TextIOWrapper(io.BytesIO(), 'latin-1')
        try:
            trio.run(serve, list(values))
        except Exception as error:
            report_end(error, stream)
        stream.seek(0)
        return stream.read().splitlines()

    def test_last_line_of_an_ended_process_named_neither_task_nor_error(self):
        last = self.report_of('i-\udcff\n\u4e00')[-1]
        self.assertTrue(last.startswith('lifecycle: ended by an error. '), last)
        self.assertIn('task=Reader.run at=test_logs_ends.py:', last)
        self.assertIn("Reader.read error=KeyError: 'i-\\udcff\\n\\u4e00'", last)

    def test_each_error_of_several_tasks_has_its_line(self):
        lines = self.report_of('a', 'b')
        causes = [line for line in lines if line.startswith('lifecycle:')]
        self.assertEqual(len(causes), 2)
        self.assertEqual(lines[-2:], causes)


if __name__ == '__main__':
    unittest.main()
