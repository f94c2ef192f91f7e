"""Servers that ask this instance for rest: what they asked, and what follows."""
