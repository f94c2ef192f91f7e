"""Selection of the instances that a caller should use for a service."""
