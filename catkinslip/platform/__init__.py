"""The adapter to the users' platform: its settings, store, wire names and pages.

Only this package contains the platform's names; it translates them and makes no
decisions of its own.
"""
