"""Index from API keys to workspaces.

Answers requests with any key, right or wrong, at a cost that depends neither on the
number of keys nor on how much of a key is right.
"""

from hashlib import blake2b
from secrets import token_bytes

from attrs import Factory, define, field

from catkinslip.config.documents import Workspace

#: Long enough that no two keys share a digest.
DIGEST_BYTES = 16
SALT_BYTES = 16


@define
class KeyIndex:
    """Index of the workspaces of one configuration by the digests of their keys.

    A key is never compared as text. The digests are salted with random bytes of this
    process, so that a caller cannot choose keys whose digests begin alike.
    """

    workspace_by_name: dict[str, Workspace] = field(factory=dict, repr=False)
    name_by_digest: dict[bytes, str] = field(factory=dict, repr=False)
    salt: bytes = field(default=Factory(lambda: token_bytes(SALT_BYTES)), repr=False)

    def update(self, workspace_by_name: dict[str, Workspace]) -> bool:
        """Apply the workspaces of a configuration; return whether they were indexed.

        The same map as before costs nothing, as most configurations change only
        servers, and each keeps the map of the last rules.
        """
        if workspace_by_name is self.workspace_by_name:
            return False
        is_same = workspace_by_name == self.workspace_by_name
        self.workspace_by_name = workspace_by_name
        if is_same:
            return False
        self.name_by_digest = {
            self._digest(key.encode()): name
            for name, workspace in workspace_by_name.items()
            for key in workspace.api_keys
        }
        return True

    def find(self, key: bytes) -> str | None:
        """Return the name of the workspace that a key belongs to; None if unknown."""
        return self.name_by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return blake2b(key, digest_size=DIGEST_BYTES, key=self.salt).digest()
