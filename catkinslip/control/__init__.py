"""The control surface for peers and operators."""
