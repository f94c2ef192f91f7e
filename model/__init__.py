"""The specification of the core protocol and its checker."""
