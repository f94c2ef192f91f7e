"""Limits on load: admission, the budget of extra requests, retries and hedges."""
