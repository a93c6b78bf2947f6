"""Control state: the chain of cores and the agreed view that mends it."""
