"""Mapping of pools, and of the orders to hosts, to the partitions of the store.

The mapping depends on nothing but the name of a pool and the number of partitions, so
that all nodes agree on it and find again after a restart what was stored before.
"""

import dataclasses
import zlib


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionMap:
    """The partitions of a topic and what belongs to each.

    Attributes
    ----------
    count : int
        Number of partitions that the store grants, at least 1.
    """

    count: int

    @property
    def fleet_partition(self) -> int:
        """The partition whose owner gives the orders to hosts.

        No pool belongs to it, unless the store grants only one partition.
        """
        return self.count - 1

    def find(self, pool: str) -> int:
        """Return the partition of a pool."""
        # Total on all strings: a name that UTF-8 cannot encode has a partition too.
        encoded = pool.encode(errors="surrogatepass")
        return zlib.crc32(encoded) % max(1, self.count - 1)
