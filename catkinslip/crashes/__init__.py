"""Requests under which backend servers ended."""
