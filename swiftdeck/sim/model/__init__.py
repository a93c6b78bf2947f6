"""Model checks of the control plane: whole cores run under schedules of faults at event points."""
