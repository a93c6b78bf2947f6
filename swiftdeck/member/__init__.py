"""Who is in the fleet, by probes, and how news is passed on."""
