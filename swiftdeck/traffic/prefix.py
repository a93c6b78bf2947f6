"""Names of prefixes: a chain of digests over weights, isolation group and prompt parts."""

import hashlib

SHARED_GROUP = "shared"


def group_of(tenant: str, is_apart: bool) -> str:
    """The isolation group of a tenant: its own if it is kept apart, otherwise the shared one."""
    return f"apart/{tenant}" if is_apart else SHARED_GROUP


def chain_of(weights: str, group: str, parts) -> list[bytes]:
    """One digest for each part; equal only when weights, group and all parts so far are equal."""
    link = hashlib.blake2b(f"{len(weights)}:{weights}{group}".encode(), digest_size=16).digest()
    chain = []
    for part in parts:
        link = hashlib.blake2b(
            link + part.encode("utf-8", "surrogatepass"), digest_size=16
        ).digest()
        chain.append(link)
    return chain
