"""Acceptance of requests that other instances relay to this one."""

import logging
from collections.abc import Callable, Iterable
from hmac import compare_digest

from attrs import define

from catkinslip.proxy import headers as names
from catkinslip.proxy.headers import Header
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.relayed import (
    RelayedRequest,
    RelayGate,
    RelayHead,
    decode_head,
)

#: Length of a token before it is written in hexadecimal digits.
TOKEN_BYTES = 12
#: Time after which the sender may try again: it has the new token after its next poll.
RETRY_SECONDS = 0.5

#: Stands for the header of a request whose sender is not known to be an instance.
UNREADABLE = RelayHead('', '', 0, '')

log = logging.getLogger('relaying')


@define
class TokenRelayGate(RelayGate):
    """The gate that accepts requests with the token of this start of the instance."""

    token: str
    #: Returns the version of the rules in force.
    rules_version: Callable[[], int]

    def read(self, headers: Iterable[Header]) -> RelayedRequest | None:
        """Return what marks a request as relayed; None for a request of a caller.

        A request with another token may come from an instance that does not know of
        the last restart here, or from a caller. With older rules than the sender's,
        the request could go where it must not go any more.
        """
        value = names.find(headers, names.RELAYED)
        if value is None:
            return None
        head = decode_head(value) or UNREADABLE
        if not compare_digest(head.token.encode(), self.token.encode()):
            log.info('relaying: request with an unknown token refused.')
            return refuse(UNREADABLE, 'unknown token')
        if head.rules_version > self.rules_version():
            log.info(
                'relaying: request of %s refused, its rules are newer. version=%08x '
                'known=%08x',
                head.sender,
                head.rules_version,
                self.rules_version(),
            )
            return refuse(head, 'older rules')
        return RelayedRequest(head)


def refuse(head: RelayHead, detail: str) -> RelayedRequest:
    """Return a relayed request that is not accepted."""
    refusal = NotRun(Reason.NOT_READY, detail, retry_after=RETRY_SECONDS)
    return RelayedRequest(head, refusal)
