"""Access to the platform's object API."""
