"""Settings of both programs, from flags and environment variables."""
