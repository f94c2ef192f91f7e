"""At most once: keys, the home instance's table, records in the platform."""
