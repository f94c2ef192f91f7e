"""Measurements; none is imported by the product."""
