"""Thin programs that put the planes together."""
