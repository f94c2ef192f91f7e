"""The asset register and the rules: documents, checks and versions."""
