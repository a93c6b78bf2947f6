"""Fleet membership by probing, and the spreading of news between processes."""
