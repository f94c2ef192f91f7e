"""Failure detection: the members to probe and the deadlines of suspected ones.

Based on SWIM: https://www.cs.cornell.edu/projects/Quicksilver/public_pdfs/SWIM.pdf
"""

import math
from random import Random

from attrs import Factory, define

from catkinslip.membership.members import Member, MemberTable, Status
from catkinslip.membership.zones import ZoneViews, gateways

#: Zones with fewer members are in the probe groups of all members of their region.
MIN_LARGE_ZONE_MEMBERS = 8
INDIRECT_PROBES = 3
#: A suspect has this many rounds to refute the suspicion, times the binary logarithm
#: of the size of the probe group.
SUSPICION_FACTOR = 2
MIN_SUSPICION_ROUNDS = 3
#: One failed member is contacted once in so many rounds, so that both sides of a
#: partition merge after it ends.
RECONNECT_ROUNDS = 10
#: Rounds without a tick after which this process is assumed to have been paused.
PAUSED_ROUNDS = 3
#: A gateway exchanges with another zone once in so many rounds.
ROUNDS_PER_CROSS_ZONE_EXCHANGE = 2
#: Number of peers of the probe group to which an urgent update is sent at once.
GOSSIP_FANOUT = 3


@define
class FailureDetector:
    """The failure detector of one instance; durations are in seconds."""

    table: MemberTable
    zones: ZoneViews
    random: Random
    interval: float
    _order: list[str] = Factory(list)
    _rounds: int = 0
    _deadline_by_suspect: dict[str, float] = Factory(dict)
    _ticked_at: float | None = None

    def tick(self, now: float) -> None:
        """Mark suspects as failed after their time to refute the suspicion.

        Also removes old tombstones and determines the silent zones.
        """
        self._compensate_pause(now)
        self._update_suspect_deadlines(now)
        for member_id, deadline in list(self._deadline_by_suspect.items()):
            if now >= deadline:
                del self._deadline_by_suspect[member_id]
                self.table.mark(member_id, Status.FAILED, now)
        self.table.remove_old_tombstones(now)
        self.table.silent_zones = self.zones.silent(now) - self.probe_group_zones(now)

    def probe_group(self, now: float) -> list[Member]:
        """Return the members that this instance probes."""
        zones = self.probe_group_zones(now)
        return [each for each in self.table.member_by_id.values() if each.zone in zones]

    def probe_group_zones(self, now: float) -> set[str]:
        """Return the zones whose members this instance probes."""
        self.zones.refresh(now)
        own = self.table.own
        small = {
            zone
            for zone, members in self.zones.members_by_zone.items()
            if len(members) < MIN_LARGE_ZONE_MEMBERS and members[0].region == own.region
        }
        return small | {own.zone}

    def next_targets(self, now: float) -> list[Member]:
        """Return the members to exchange with in this round."""
        self._rounds += 1
        chosen = [self._next_in_probe_group(now)]
        if self._rounds % ROUNDS_PER_CROSS_ZONE_EXCHANGE == 0:
            chosen.append(self._next_in_other_zone(now))
        if self._rounds % RECONNECT_ROUNDS == 0:
            chosen.append(self._next_failed())
        return [each for each in chosen if each is not None]

    def gossip_targets(self, now: float) -> list[Member]:
        """Return the members to send an urgent update at once.

        A gateway also sends the update to a member of each other zone of its region,
        because address answers of those zones name members of this zone.
        """
        group = [each for each in self.probe_group(now) if each.status is Status.ALIVE]
        chosen = self.random.sample(group, min(GOSSIP_FANOUT, len(group)))
        if not self.is_gateway(now):
            return chosen
        for zone in sorted(
            self.zones.members_by_zone.keys() - self.probe_group_zones(now)
        ):
            members = self.zones.members_by_zone[zone]
            if members[0].region == self.table.own.region:
                chosen.append(self.random.choice(members))
        return chosen

    def helpers(self, target: Member, now: float) -> list[Member]:
        """Return the members that probe a target on behalf of this instance."""
        others = [
            each
            for each in self.probe_group(now)
            if each.status is Status.ALIVE and each.member_id != target.member_id
        ]
        return self.random.sample(others, min(INDIRECT_PROBES, len(others)))

    def suspect(self, target: Member, now: float) -> bool:
        """Mark an unreached member as suspect; return whether the table changed."""
        return self.table.mark(target.member_id, Status.SUSPECT, now)

    def is_gateway(self, now: float) -> bool:
        """Return whether this instance exchanges with other zones."""
        self.zones.refresh(now)
        own = self.table.own
        return own in gateways(self.zones.members_by_zone[own.zone])

    def _next_in_probe_group(self, now: float) -> Member | None:
        target_by_id = {each.member_id: each for each in self.probe_group(now)}
        self._order = [each for each in self._order if each in target_by_id]
        if not self._order:
            self._order = sorted(target_by_id)
            self.random.shuffle(self._order)
        return target_by_id[self._order.pop()] if self._order else None

    def _next_in_other_zone(self, now: float) -> Member | None:
        others = sorted(self.zones.members_by_zone.keys() - self.probe_group_zones(now))
        if not others or not self.is_gateway(now):
            return None
        members = self.zones.members_by_zone[self.random.choice(others)]
        return self.random.choice(gateways(members) or members)

    def _next_failed(self) -> Member | None:
        failed = [
            each.member
            for each in self.table.tombstone_by_id.values()
            if not each.member.leaving
        ]
        return self.random.choice(failed) if failed else None

    def _update_suspect_deadlines(self, now: float) -> None:
        suspects = {
            each.member_id
            for each in self.probe_group(now)
            if each.status is Status.SUSPECT
        }
        for member_id in self._deadline_by_suspect.keys() - suspects:
            del self._deadline_by_suspect[member_id]
        for member_id in suspects - self._deadline_by_suspect.keys():
            self._deadline_by_suspect[member_id] = now + self._suspicion_seconds(now)

    def _suspicion_seconds(self, now: float) -> float:
        size = len(self.probe_group(now)) + 1
        rounds = SUSPICION_FACTOR * math.log2(size)
        return max(MIN_SUSPICION_ROUNDS, rounds) * self.interval

    def _compensate_pause(self, now: float) -> None:
        previous, self._ticked_at = self._ticked_at, now
        if previous is None or now - previous <= PAUSED_ROUNDS * self.interval:
            return
        self.zones.shift(now - previous)
        for member_id in self._deadline_by_suspect:
            self._deadline_by_suspect[member_id] += now - previous
