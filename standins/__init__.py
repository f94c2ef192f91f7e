"""Small stand-ins for external systems in tests, benchmarks and the demo."""
