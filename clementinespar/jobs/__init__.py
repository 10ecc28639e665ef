"""Jobs on workers: submission, ownership, placement, leases and maintenance."""
