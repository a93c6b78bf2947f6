"""Model checks of the control side: whole cores under schedules of faults, each placed at a point of the run."""
