"""Adapter to the platform's names, formats and calls. It makes no decisions of its own."""
