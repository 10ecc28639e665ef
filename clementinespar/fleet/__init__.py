"""The folded state of the fleet and its snapshots."""
