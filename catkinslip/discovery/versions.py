"""Versions of the rules and revisions of the other values of an instance."""

from attrs import Factory, frozen


@frozen
class Versions:
    """How new the values of an instance are."""

    #: Version of the rules.
    rules: int = 0
    #: Revision of the store up to which the backend servers are known.
    backends: int = 0
    #: The same for each other kind that instances send to each other.
    revision_by_kind: dict[str, int] = Factory(dict)

    def is_ahead_of(self, other: 'Versions') -> bool:
        """Return whether a value is newer; kinds that the other lacks do not count."""
        if self.rules > other.rules or self.backends > other.backends:
            return True
        return any(
            revision > other.revision_by_kind.get(kind, revision)
            for kind, revision in self.revision_by_kind.items()
        )
