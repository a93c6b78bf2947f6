"""Control state: chain replication among the cores, and agreement on its view."""
