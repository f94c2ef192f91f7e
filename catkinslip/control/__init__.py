"""HTTP control API for peers and operators."""
