"""Messages between peers."""

from typing import Any

import cattrs
from attrs import Factory, frozen
from cattrs.gen import make_dict_unstructure_fn

from catkinslip.membership.members import Member


@frozen
class ExchangeMessage:
    """What one peer tells another; topics are named by `PeerTopic.name`.

    `hash_by_zone` summarises the sender's view, with an empty hash for a zone
    whose view changed a moment ago. `age_by_zone` gives the seconds since the
    sender's side heard of each zone. In an answer, a topic without a digest has
    that of the request.
    """

    sender: str
    incarnation: int = 0
    words: tuple[Member, ...] = ()
    age_by_failed: dict[str, float] = Factory(dict)
    hash_by_zone: dict[str, str] = Factory(dict)
    age_by_zone: dict[str, float] = Factory(dict)
    repaired_zones: tuple[str, ...] = ()
    is_sender_unknown: bool = False
    digest_by_topic: dict[str, Any] = Factory(dict)
    news_by_topic: dict[str, Any] = Factory(dict)


@frozen
class ProbeRequest:
    """Ask a peer whether it reaches a third one."""

    control_address: str


@frozen
class ProbeAnswer:
    """Tell whether a third peer was reached."""

    reached: bool


converter = cattrs.Converter()
for _message in (Member, ExchangeMessage):
    converter.register_unstructure_hook(
        _message,
        make_dict_unstructure_fn(_message, converter, _cattrs_omit_if_default=True),
    )
