"""Relaying of requests through instances that reach the servers."""
