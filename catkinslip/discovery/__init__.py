"""What exists: rules, backend servers and instances, as an outside store tells."""
