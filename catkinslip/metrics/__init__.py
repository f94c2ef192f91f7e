"""Metrics and their exposition to operators."""
