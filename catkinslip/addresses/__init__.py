"""Which instances a caller should use for a service."""
