"""Measurements; the product imports none of them."""
