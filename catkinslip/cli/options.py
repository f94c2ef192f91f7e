"""Settings that several commands share."""

from attrs import evolve

from catkinslip.settings.base import Option, number
from catkinslip.settings.values import (
    addresses,
    http_url,
    http_url_or_empty,
    optional,
    required_addresses,
)

PLATFORM_GROUP = 'Platform'
CONTROL_GROUP = 'Control surface'
CHANGE_GROUP = 'Change'

PLATFORM_URL = Option(
    '--platform-url', '', http_url, 'URL of the object API.', PLATFORM_GROUP
)
PLATFORM_TIMEOUT = Option(
    '--platform-timeout',
    '5',
    number(0.05, 60, 'seconds'),
    'Seconds to wait for an answer from the platform.',
    PLATFORM_GROUP,
)
CONTROL = Option(
    '--control',
    '',
    required_addresses,
    'Control addresses of instances; the first that answers is used.',
    CONTROL_GROUP,
)
CONTROL_TIMEOUT = Option(
    '--control-timeout',
    '3',
    number(0.05, 60, 'seconds'),
    'Seconds to wait for an answer from an instance.',
    CONTROL_GROUP,
)
SHARED_SECRET = Option(
    '--shared-secret',
    '',
    str,
    'Secret that instances require; a flag shows in the process list, so prefer '
    'the variable or the file.',
    CONTROL_GROUP,
    secret=True,
)
AUTHOR = Option(
    '--author', '', str, 'Author of the change; your user name if empty.', CHANGE_GROUP
)
WAIT = Option(
    '--wait',
    '',
    optional(number(0, 86_400, 'seconds')),
    'Seconds to wait until the change is in force on every instance; empty: no wait.',
    CHANGE_GROUP,
)
WATCH_WAIT = evolve(WAIT, default='30', help='Seconds to wait.')

PLATFORM = (PLATFORM_URL, PLATFORM_TIMEOUT)
OPTIONAL_PLATFORM = (
    evolve(PLATFORM_URL, convert=http_url_or_empty),
    PLATFORM_TIMEOUT,
)
INSTANCE = (CONTROL, CONTROL_TIMEOUT, SHARED_SECRET)
OPTIONAL_INSTANCE = (
    evolve(
        CONTROL,
        convert=addresses,
        help="Control addresses of instances that are not on the platform's list.",
    ),
    CONTROL_TIMEOUT,
    SHARED_SECRET,
)
CHANGE = (*PLATFORM, *OPTIONAL_INSTANCE, AUTHOR, WAIT)
