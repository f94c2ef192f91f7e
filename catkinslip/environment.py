"""The process environment of a program, which tests can replace."""

import os
import secrets
import sys
from collections.abc import Mapping
from random import Random
from typing import TextIO

from attrs import Factory, define

from catkinslip.clock import Clock, SystemClock


def seeded_random() -> Random:
    """Return a random generator with a seed from the operating system."""
    return Random(secrets.randbits(64))


@define
class Environment:
    """Streams, variables, clock and random generator of one program."""

    variables: Mapping[str, str] = Factory(lambda: dict(os.environ))
    stdout: TextIO = Factory(lambda: sys.stdout)
    stderr: TextIO = Factory(lambda: sys.stderr)
    clock: Clock = Factory(SystemClock)
    random: Random = Factory(seeded_random)
