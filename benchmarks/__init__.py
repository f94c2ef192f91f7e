"""Measurements of the product, each ending with a line of JSON."""
