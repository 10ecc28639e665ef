"""Randomized soak: the real program in separate processes, with faults from outside."""
