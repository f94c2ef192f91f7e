"""The members known to one instance."""

from attrs import Factory, define, evolve, frozen


@frozen
class Member:
    """One instance of the system in one incarnation."""

    member_id: str
    incarnation: int
    zone: str
    address: str
    control_address: str
    leaving: bool = False


@define
class MemberTable:
    """Hold the newest word on each member."""

    own: Member
    member_by_id: dict[str, Member] = Factory(dict)

    def live(self) -> list[Member]:
        """Return this instance and all other members."""
        return [self.own, *self.member_by_id.values()]

    def leave(self) -> None:
        """Mark this instance as leaving."""
        self.own = evolve(self.own, leaving=True)

    def merge(self, member: Member) -> bool:
        """Take newer word on a member; tell whether it was newer."""
        if member.member_id == self.own.member_id:
            return False
        known = self.member_by_id.get(member.member_id)
        if known is not None and not is_newer(member, known):
            return False
        self.member_by_id[member.member_id] = member
        return True

    def remove(self, member_id: str) -> None:
        """Forget a member that failed."""
        self.member_by_id.pop(member_id, None)


def is_newer(word: Member, known: Member) -> bool:
    """Tell whether a word on a member replaces the known one; leaving wins."""
    if word.incarnation != known.incarnation:
        return word.incarnation > known.incarnation
    return word.leaving and not known.leaving
