"""A loop, network, clock and disk that are simulated."""
