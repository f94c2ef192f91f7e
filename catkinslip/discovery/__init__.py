"""Discovery of rules, backend servers and instances from an outside store."""
