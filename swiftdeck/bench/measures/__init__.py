"""Measurements of the design, each a function of a seed that yields rows of figures."""
