"""Messages, frames and links between the system's own processes."""
