"""HTTP/1.1 in asyncio protocols, by h11 on both sides."""
