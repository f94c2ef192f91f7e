"""Settings of the daemon and the tool, from flags and environment variables."""
