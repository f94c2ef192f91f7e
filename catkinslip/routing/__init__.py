"""The choice of a backend server for each request."""
