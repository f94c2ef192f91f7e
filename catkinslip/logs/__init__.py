"""Buffered logging: one task writes the lines, and dropped lines are counted."""
