"""Servers that name the rate they take: what is believed, who may send how much."""
