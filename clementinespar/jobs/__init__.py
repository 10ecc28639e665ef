"""Jobs on workers: intake, ownership, placement, leases, lasting work and upkeep."""
