"""The configuration in force on one instance."""

from collections.abc import Callable

from attrs import Factory, define

from catkinslip.config.documents import AcceptedConfig

Listener = Callable[[AcceptedConfig], None]


@define
class ConfigHolder:
    """Hold the newest accepted configuration and never go back."""

    current: AcceptedConfig = Factory(AcceptedConfig)
    listeners: list[Listener] = Factory(list)

    def offer(self, candidate: AcceptedConfig) -> bool:
        """Put a configuration in force if it is newer; tell whether it was."""
        if candidate.version <= self.current.version:
            return False
        self.current = candidate
        for listener in self.listeners:
            listener(candidate)
        return True
