"""The gateway: forwards requests unchanged, from routes by host and path to placement and attempts at workers."""
