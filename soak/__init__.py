"""A randomized soak: the real programs as processes, with faults from outside them."""
