"""Selection of a backend server for each request."""
