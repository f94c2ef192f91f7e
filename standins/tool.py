"""In-process runs of the command-line tool with captured output."""

import io
import json
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from catkinslip.cli.application import run
from catkinslip.environment import Environment


@frozen
class ToolResult:
    """Exit status and output of one run of the command-line tool."""

    status: int
    stdout: str
    stderr: str

    @property
    def json(self) -> Any:
        """Return the standard output, decoded from JSON."""
        return json.loads(self.stdout)


def run_tool(*arguments: str, variables: Mapping[str, str] | None = None) -> ToolResult:
    """Run the command-line tool with only the given environment variables."""
    stdout, stderr = io.StringIO(), io.StringIO()
    environment = Environment(variables or {}, stdout, stderr)
    status = run(list(arguments), environment)
    return ToolResult(status, stdout.getvalue(), stderr.getvalue())
