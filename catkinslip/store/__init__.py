"""The platform's object API."""
