"""Replay runs of the model against the product's code."""
