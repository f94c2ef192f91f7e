"""Servers that request a rest period from this instance."""
