"""At-most-once delivery: keys, the table of the home instance, platform records."""
