"""Which instances are members of the system."""
