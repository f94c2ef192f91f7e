"""Measurements; none of them is imported by the product."""
