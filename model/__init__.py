"""Formal specifications of the core protocols, and their checker."""
