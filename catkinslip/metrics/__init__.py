"""What is counted, and how it is shown to operators."""
