"""Which calls are sent, wait or are turned away when servers have no room."""
