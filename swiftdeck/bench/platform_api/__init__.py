"""Stand-ins that speak the users' platform's way, and a checker of its rules over their records."""
