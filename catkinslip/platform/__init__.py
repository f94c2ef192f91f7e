"""The adapter to the users' platform: its settings, store, wire names and pages.

Only this package knows the platform's names; it translates and decides nothing.
"""
