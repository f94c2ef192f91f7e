"""Small stand-ins for outside systems, for tests, benchmarks and the demo."""
