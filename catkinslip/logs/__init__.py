"""Log lines: buffered, written by one task, counted when lost."""
