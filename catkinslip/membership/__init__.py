"""Group membership: instances, failure detection and the exchange between peers."""
