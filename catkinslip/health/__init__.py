"""Drain signs, reachability, probes and the measuring budget."""
