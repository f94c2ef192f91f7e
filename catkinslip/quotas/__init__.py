"""Quotas of workspaces over all instances."""
