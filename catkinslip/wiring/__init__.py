"""Build the parts of one daemon from its settings and connect them."""
