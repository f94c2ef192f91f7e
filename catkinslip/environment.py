"""What a program takes from its surroundings, so that tests can swap it."""

import os
import secrets
import sys
from collections.abc import Mapping
from random import Random
from typing import TextIO

from attrs import Factory, define

from catkinslip.clock import Clock, SystemClock


def seeded_random() -> Random:
    """Return a generator seeded by the operating system."""
    return Random(secrets.randbits(64))


@define
class Environment:
    """Streams, variables, clock and randomness of one program."""

    variables: Mapping[str, str] = Factory(lambda: dict(os.environ))
    stdout: TextIO = Factory(lambda: sys.stdout)
    stderr: TextIO = Factory(lambda: sys.stderr)
    clock: Clock = Factory(SystemClock)
    random: Random = Factory(seeded_random)
