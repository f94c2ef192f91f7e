"""Drain signals, reachability, load reports and probes of backend servers."""
