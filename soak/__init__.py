"""Randomized soak test: nodes as separate processes, with injected faults."""
