"""The library of the data plane."""
