"""Limits on the requests to servers that are cold after a start."""
