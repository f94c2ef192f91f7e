"""Check of the key of each request against the configuration in force.

Answers requests with wrong keys at any rate: each costs one hash, and their log lines
are limited.
"""

import logging
from collections.abc import Callable, Sequence

from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.config.documents import Workspace
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.workspaces.fingerprints import fingerprint_of
from catkinslip.workspaces.index import KeyIndex
from catkinslip.workspaces.keys import KeyFault, read_key

#: A caller with a wrong key may send several hundred requests a second; the line that
#: ends each request names the reason in any case.
MAX_LINES_PER_SECOND = 20

log = logging.getLogger('workspaces')


@define
class LineLimit:
    """Limit on log lines in each second, with the number of those left out."""

    clock: Clock
    second: int = 0
    lines: int = 0
    omitted: int = 0

    def take(self) -> int | None:
        """Return how many lines were left out before this one; None to leave it out."""
        second = int(self.clock.monotonic())
        if second != self.second:
            self.second, self.lines = second, 0
        if self.lines >= MAX_LINES_PER_SECOND:
            self.omitted += 1
            return None
        self.lines += 1
        omitted, self.omitted = self.omitted, 0
        return omitted


@define
class KeyChecker:
    """Checker of keys against the workspaces in force."""

    clock: Clock
    index: KeyIndex = Factory(KeyIndex)
    limit: LineLimit = Factory(lambda self: LineLimit(self.clock), takes_self=True)
    #: Whether any configuration since the start had workspaces.
    has_had_workspaces: bool = False

    @property
    def workspace_by_name(self) -> dict[str, Workspace]:
        """Return the workspaces in force by name."""
        return self.index.workspace_by_name

    def update(self, workspace_by_name: dict[str, Workspace], version: object) -> None:
        """Apply the workspaces of the configuration in force."""
        before = self.workspace_by_name
        self.has_had_workspaces = self.has_had_workspaces or bool(workspace_by_name)
        if self.index.update(workspace_by_name):
            log.info(
                'workspaces: keys in force. config=%s workspaces=%d was=%d keys=%d',
                version,
                len(workspace_by_name),
                len(before),
                len(self.index.name_by_digest),
            )

    def check(
        self, values: Sequence[bytes], request_id: str, describe: Callable[[], str]
    ) -> str | NotRun:
        """Return the workspace of a request's key header, or the refusal.

        `describe` returns the other inputs of the decision for the log line.
        """
        key = read_key(values)
        if isinstance(key, KeyFault):
            return self._reject(key, request_id, describe)
        name = self.index.find(key)
        if name is None:
            return self._reject(KeyFault.UNKNOWN, request_id, describe, key)
        return name

    def _reject(
        self,
        fault: KeyFault,
        request_id: str,
        describe: Callable[[], str],
        key: bytes = b'',
    ) -> NotRun:
        omitted = self.limit.take()
        if omitted is not None:
            log.info(
                'workspaces: key rejected. request=%s cause=%s fingerprint=%s %s '
                'omitted=%d',
                request_id,
                fault.value,
                fingerprint_of(key) if key else '-',
                describe(),
                omitted,
            )
        return NotRun(Reason.KEY_REJECTED, fault.value)
