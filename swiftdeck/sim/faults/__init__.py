"""Faults that simulated runs inject into a site, grouped by what they break."""
