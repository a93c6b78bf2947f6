"""Cases on a simulated site of the platform, by subject."""
