"""Settings of a process and configurations of the fleet, checked by msgspec."""
