"""The buckets of the workspaces of one slot at a pool.

Load: a frozen pool resumes, generators move to another pool, and limits change. Permits
are generated only while leases run, and a bucket holds at most its cap times the shares
leased now, so the buckets of all pools together hold at most one cap.
"""

from collections.abc import Mapping
from math import floor

from attrs import Factory, define, frozen

from catkinslip.quotas.bounds import WorkspaceLimit

#: Tolerance for sums of shares that are not exact in binary.
ROUNDING = 1e-9
#: Part of a bucket that is granted to holders that only prefetch.
PREFETCH_PART = 0.5
#: Level, as a part of the cap, from which spare permits are granted. Most of them
#: expire unused, and a bucket at that level would soon be full.
SPARE_LEVEL = 0.75
#: Seconds until holders ask again if nothing is leased here.
NO_LEASE_RETRY_SECONDS = 0.1
#: Bounds of the seconds until holders ask again otherwise.
MIN_RETRY_SECONDS = 0.02
MAX_RETRY_SECONDS = 5.0


@frozen
class SlotLease:
    """One generator's share of a slot until a time on the pool's clock."""

    share: float
    ends_at: float


@frozen
class Grant:
    """The number of permits granted, and the seconds until more are likely."""

    permits: int
    retry_after: float = 0.0


@define
class Bucket:
    """The permits of one workspace."""

    limit: WorkspaceLimit
    level: float = 0.0
    #: Generated time of the slot up to which permits were added.
    credited: float = 0.0


@define
class Slot:
    """The leases of a slot and the buckets of its limited workspaces, by key."""

    now: float
    bucket_by_key: dict[int, Bucket] = Factory(dict)
    lease_by_sender: dict[str, SlotLease] = Factory(dict)
    #: Sum of the shares that are leased now.
    share: float = 0.0
    #: Generated time in seconds: the integral of the share.
    generated: float = 0.0
    #: Time at which a lease was last applied.
    leased_at: float = Factory(lambda self: self.now, takes_self=True)

    def advance(self, now: float) -> None:
        """Generate permits up to now, and end the leases that are over."""
        ended = [item for item in self.lease_by_sender.items() if item[1].ends_at < now]
        for sender, lease in sorted(ended, key=lambda item: item[1].ends_at):
            self._generate(lease.ends_at)
            self._set_lease(sender, None)
        self._generate(now)

    def apply_lease(self, sender: str, lease: SlotLease | None, now: float) -> None:
        """Replace the lease of a generator; None ends it."""
        self.advance(now)
        self.leased_at = now
        before = self.lease_by_sender.get(sender)
        if lease and before and lease.share == before.share:
            self.lease_by_sender[sender] = lease
        elif lease != before:
            self._set_lease(sender, lease)

    def add_start_level(self, share: float, now: float) -> None:
        """Add a generator's share of the start level to each bucket."""
        self.advance(now)
        for bucket in self.bucket_by_key.values():
            self._add_generated(bucket)
            bucket.level += bucket.limit.start_level * share
            self._limit_level(bucket)

    def apply_limits(
        self, limit_by_key: Mapping[int, WorkspaceLimit], now: float
    ) -> None:
        """Apply the limits in force; new buckets are empty and lowered ones are cut."""
        self.advance(now)
        for key in self.bucket_by_key.keys() - limit_by_key.keys():
            del self.bucket_by_key[key]
        for key, limit in limit_by_key.items():
            bucket = self.bucket_by_key.get(key)
            if bucket is None:
                self.bucket_by_key[key] = Bucket(limit, credited=self.generated)
            elif bucket.limit != limit:
                self._add_generated(bucket)
                bucket.limit = limit
                self._limit_level(bucket)

    def grant(
        self, key: int, needed: int, now: float, extra: int = 0, spare: int = 0
    ) -> Grant:
        """Grant the permits that calls wait for, and some of those to prefetch."""
        self.advance(now)
        bucket = self.bucket_by_key.get(key)
        if bucket is None:
            return Grant(0, NO_LEASE_RETRY_SECONDS)
        self._add_generated(bucket)
        permits = min(needed, floor(bucket.level + ROUNDING))
        bucket.level -= permits
        if permits < needed:
            return Grant(permits, self._retry_after(bucket, needed - permits))
        if bucket.level >= SPARE_LEVEL * bucket.limit.cap * self.share:
            extra += spare
        prefetched = min(extra, floor(PREFETCH_PART * bucket.level + ROUNDING))
        bucket.level -= prefetched
        return Grant(permits + prefetched)

    def _retry_after(self, bucket: Bucket, missing: int) -> float:
        rate = bucket.limit.rate * self.share
        if rate <= 0:
            return NO_LEASE_RETRY_SECONDS
        # Asking later than that would let the bucket overflow.
        longest = max(1.0, 0.5 * bucket.limit.cap * self.share) / rate
        seconds = min((missing - bucket.level) / rate, longest)
        return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)

    def _generate(self, until: float) -> None:
        if until > self.now:
            self.generated += self.share * (until - self.now)
            self.now = until

    def _set_lease(self, sender: str, lease: SlotLease | None) -> None:
        for bucket in self.bucket_by_key.values():
            self._add_generated(bucket)
        if lease is None:
            self.lease_by_sender.pop(sender, None)
        else:
            self.lease_by_sender[sender] = lease
        before = self.share
        self.share = sum(each.share for each in self.lease_by_sender.values())
        if self.share < before:
            for bucket in self.bucket_by_key.values():
                self._limit_level(bucket)

    def _add_generated(self, bucket: Bucket) -> None:
        added = bucket.limit.rate * (self.generated - bucket.credited)
        bucket.level += added
        bucket.credited = self.generated
        self._limit_level(bucket)

    def _limit_level(self, bucket: Bucket) -> None:
        bucket.level = min(bucket.level, bucket.limit.cap * self.share)
