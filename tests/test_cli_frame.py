"""Tests of the command-line tool: help, usage errors and tables."""

import unittest

from catkinslip.cli.definition import COMMANDS
from catkinslip.cli.output import table
from catkinslip.status import ExitStatus
from standins.tool import run_tool


class ToolTest(unittest.TestCase):
    """The tool documents its flags and reports errors without a stack trace."""

    def test_help_of_each_command_documents_flags_examples_and_statuses(self):
        for definition in COMMANDS:
            result = run_tool('help', definition.name)
            self.assertEqual(result.status, ExitStatus.SUCCESS)
            self.assertIn(definition.help, result.stdout)
            for setting in definition.settings:
                self.assertIn(setting.flag, result.stdout)
                self.assertIn(setting.variable, result.stdout)
            for status in definition.statuses:
                self.assertIn(f'{status.value}  {status.meaning}', result.stdout)
            self.assertTrue(definition.examples, definition.name)
            self.assertTrue(definition.help.endswith('.'), definition.name)

    def test_flag_overrides_variable_and_all_mistakes_are_reported(self):
        result = run_tool(
            'read',
            '--platform-url=ftp://10.0.0.9',
            variables={
                'CATKINSLIP_PLATFORM_URL': 'http://10.0.0.9:80',
                'CATKINSLIP_PLATFORM_TIMEOUT': '900',
            },
        )
        self.assertEqual(result.status, ExitStatus.USAGE)
        self.assertEqual(len(result.stderr.splitlines()), 2)
        self.assertIn("'ftp://10.0.0.9' is wrong", result.stderr)
        self.assertIn('from 0.05 to 60 seconds', result.stderr)

    def test_usage_errors_end_with_a_hint_and_no_trace(self):
        for arguments in (('statu',), ('status', '--contrl=x'), ('status', 'extra')):
            result = run_tool(*arguments)
            self.assertEqual(result.status, ExitStatus.USAGE)
            self.assertIn('See catkinslip list', result.stderr)
            self.assertNotIn('Traceback', result.stderr)

    def test_instance_that_is_not_there_is_unreachable(self):
        result = run_tool('status', '--control=127.0.0.1:1')
        self.assertEqual(result.status, ExitStatus.UNREACHABLE)
        self.assertIn('127.0.0.1:1 did not answer', result.stderr)

    def test_table_aligns_numbers_right(self):
        lines = table(('name', 'count'), [('a', 5), ('longer', 1234)])
        self.assertEqual(lines, ['name    count', 'a           5', 'longer   1234'])
