"""Servers that advertise the request rate they accept, and how instances divide it."""
