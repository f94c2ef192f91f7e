"""Replays of model runs against the code of the product."""
