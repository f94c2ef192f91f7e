"""Randomized soak test: instances as processes, with faults injected around them."""
