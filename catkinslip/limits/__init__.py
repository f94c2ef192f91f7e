"""Limits on work: admission, the budget of extra requests, retries and hedges."""
