"""Names the cache salts under which workers keep the parts of prompts.

A worker reuses a part only under the salt it was kept under. So the salt separates versions of the
weights, and isolated tenants from all others.
"""

from swiftdeck.config.document import Document, shared_cache_generation


def is_isolated(document: Document, tenant: str) -> bool:
    """Return whether requests of a tenant must not use the parts that those of others left.

    `tenant` is empty for a request without a key, which belongs to no tenant. A tenant that the
    configuration doesn't name was removed while its request waited. It counts as isolated, as it
    may have been, and as it may come back isolated.
    """
    entry = document.tenants.get(tenant)
    return bool(tenant) and (entry is None or entry.apart)


def cache_salt(document: Document, weights_version: int, isolated_tenant: str | None = None) -> str:
    """Return the cache salt of a request that is sent under a configuration.

    Args:
        document: The newest configuration that this router has.
        weights_version: The version of the weights on which the request is to run.
        isolated_tenant: The tenant of a request that must share no parts, which is empty for a
            request without one; None for a request that may share parts.
    """
    if isolated_tenant is not None:
        return f"{weights_version}/{isolated_tenant}"
    generation = shared_cache_generation(document)
    return f"{weights_version}.{generation}" if generation else str(weights_version)
