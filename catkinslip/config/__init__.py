"""Configuration: the asset register and the rules, their checks and versions."""
