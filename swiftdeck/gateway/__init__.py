"""Calls that go through untouched: routes by host and path, attempts at workers, and what decides between them."""
