"""Traffic split: chooses the service of a request by the weights of its route.

Takes the route and the attempt id. The choice depends on a hash of the id, so that
every entry chooses the same service for the same attempt.
"""

import hashlib

from bamboolever.config.model import Route

_HASH_BYTES = 8


def choose_service(route: Route, attempt_id: bytes) -> str | None:
    """Return the service for an attempt, or None if the route has none.

    Equal attempt ids give equal services. If all weights are zero, the first service
    gets everything.
    """
    total = sum(max(0.0, share.weight) for share in route.targets)
    if not route.targets:
        return None
    if total <= 0 or len(route.targets) == 1:
        return route.targets[0].service
    digest = hashlib.blake2b(attempt_id, digest_size=_HASH_BYTES).digest()
    point = int.from_bytes(digest, "big") / 2 ** (8 * _HASH_BYTES) * total
    for share in route.targets:
        point -= max(0.0, share.weight)
        if point < 0:
            return share.service
    return route.targets[-1].service
