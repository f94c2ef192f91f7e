"""Construction of the components of a daemon or instance from its settings."""
