"""Messages of the peer exchange and of indirect probes."""

from typing import Any

import cattrs
from attrs import Factory, frozen
from cattrs.gen import make_dict_unstructure_fn

from catkinslip.membership.members import Member


@frozen
class ExchangeMessage:
    """A message of the peer exchange; topics are named by `PeerTopic.name`.

    `words` are member records, `news_by_topic` are topic updates. `hash_by_zone`
    summarises the sender's view, with an empty hash for a zone whose view changed
    recently. `age_by_zone` gives the seconds since the last contact with each zone,
    direct or through peers. In an answer, a topic without a digest has the same digest
    as in the request.
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
    """A request to probe a third instance on behalf of the sender."""

    control_address: str


@frozen
class ProbeAnswer:
    """The result of a probe of a third instance."""

    reached: bool


converter = cattrs.Converter()
for _message in (Member, ExchangeMessage):
    converter.register_unstructure_hook(
        _message,
        make_dict_unstructure_fn(_message, converter, _cattrs_omit_if_default=True),
    )
