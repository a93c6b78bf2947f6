"""The measurements that the command line offers, by name."""

from swiftdeck.bench.measures.chain import acks, day
from swiftdeck.bench.measures.faults import failover, fetch, outage
from swiftdeck.bench.measures.placement import ring, thrash, warm

MEASURES = {
    measure.__name__: measure
    for measure in (thrash, ring, failover, acks, fetch, outage, warm, day)
}
