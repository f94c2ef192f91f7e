"""Records of keys in the platform, for rules that require them.

A record is created before the first byte of the request is sent. Only the attempt
that created the record may run the request; a record that was released after "not
run" may be claimed again. Both are conditional writes.
"""

from hashlib import blake2b
from random import Random

from attrs import define, frozen
from returns.result import Failure, Success

from catkinslip.store.base import (
    AnswerLost,
    Conflict,
    ObjectKey,
    ObjectStore,
    StoredObject,
)

RECORD_KIND = 'request-records'
#: Size of the digest that names the object of a record, in bytes.
NAME_BYTES = 20


@frozen
class Claim:
    """A record held by one attempt, with the version of its object."""

    key: ObjectKey
    version: int
    attempt_id: str
    fingerprint: str


@frozen
class HeldByOther:
    """The outcome if another attempt holds the record: the request may have run."""


@frozen
class OtherRequest:
    """The outcome if the key belongs to a request with other content."""


@frozen
class RecordUnavailable:
    """The outcome if the platform does not return the holder of the record."""

    reason: str


ClaimOutcome = Claim | HeldByOther | OtherRequest | RecordUnavailable
WriteOutcome = Claim | StoredObject | RecordUnavailable


@define
class PlatformRecords:
    """The records of keys in the object store, which attempts claim and release."""

    store: ObjectStore
    random: Random

    async def claim(self, name: str, fingerprint: bytes) -> ClaimOutcome:
        """Claim the record of a key; call before the first request byte is sent."""
        attempt_id = f'{self.random.getrandbits(128):032x}'
        claim = Claim(record_key(name), 0, attempt_id, fingerprint.hex())
        outcome = await self._write(claim)
        if not isinstance(outcome, StoredObject):
            return outcome
        released = not outcome.value['held']
        if outcome.value['fingerprint'] != claim.fingerprint:
            return OtherRequest()
        if not released:
            return HeldByOther()
        renewed = Claim(claim.key, outcome.version, attempt_id, claim.fingerprint)
        outcome = await self._write(renewed)
        return HeldByOther() if isinstance(outcome, StoredObject) else outcome

    async def release(self, claim: Claim) -> bool:
        """Release a record whose request did not run; return whether this succeeded."""
        value = record_value(claim, held=False)
        result = await self.store.write(claim.key, value, claim.version)
        return isinstance(result, Success)

    async def _write(self, claim: Claim) -> WriteOutcome:
        """Write a claim; return the claim if it took effect, else the stored record."""
        value = record_value(claim, held=True)
        result = await self.store.write(claim.key, value, claim.version)
        match result:
            case Success(written):
                return at_version(claim, written.version)
            case Failure(Conflict() | AnswerLost()):
                return await self._read_back(claim)
            case Failure(error):
                return RecordUnavailable(str(error))

    async def _read_back(self, claim: Claim) -> WriteOutcome:
        match await self.store.read(claim.key):
            case Success(StoredObject() as stored):
                if stored.value['attempt_id'] == claim.attempt_id:
                    return at_version(claim, stored.version)
                return stored
            case Success(_):
                return RecordUnavailable('the write has not been seen yet')
            case Failure(error):
                return RecordUnavailable(str(error))


def at_version(claim: Claim, version: int) -> Claim:
    """Return a copy of a claim with another version of its object."""
    return Claim(claim.key, version, claim.attempt_id, claim.fingerprint)


def record_key(name: str) -> ObjectKey:
    """Return the object key of the record of a request key."""
    digest = blake2b(name.encode(), digest_size=NAME_BYTES)
    return ObjectKey(RECORD_KIND, digest.hexdigest())


def record_value(claim: Claim, *, held: bool) -> dict:
    """Return the record of a claim as plain data."""
    return {
        'attempt_id': claim.attempt_id,
        'fingerprint': claim.fingerprint,
        'held': held,
    }
