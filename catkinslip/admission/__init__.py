"""The decision to send, hold or refuse calls when servers have no room."""
