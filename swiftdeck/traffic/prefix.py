"""Digests of prompt prefixes, chained over weights, isolation group and prompt parts."""

import hashlib

SHARED_GROUP = "shared"


def group_of(tenant: str, is_apart: bool) -> str:
    """Return the isolation group of a tenant: its own if it is isolated, else the shared one."""
    return f"apart/{tenant}" if is_apart else SHARED_GROUP


def cache_group_of(group: str, generation: int) -> str:
    """Return the group in names of cached prefixes; a new generation renames the shared ones."""
    return f"{group}/{generation}" if group == SHARED_GROUP and generation else group


def chain_of(weights: str, group: str, parts) -> list[bytes]:
    """Return a digest for each part.

    Two are equal only if weights, group and all parts up to there are equal.
    """
    digest = hashlib.blake2b(f"{len(weights)}:{weights}{group}".encode(), digest_size=16).digest()
    chain = []
    for part in parts:
        digest = hashlib.blake2b(
            digest + part.encode("utf-8", "surrogatepass"), digest_size=16
        ).digest()
        chain.append(digest)
    return chain
