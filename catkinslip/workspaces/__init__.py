"""Workspaces: which workspace an API key belongs to, and how keys are shown."""
