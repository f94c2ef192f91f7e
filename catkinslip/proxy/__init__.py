"""The request path between callers and backend servers."""
