"""Benchmarks; each is a program."""
