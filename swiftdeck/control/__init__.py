"""The library of the control plane."""
