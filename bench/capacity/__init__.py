"""Measurements behind ``docs/CAPACITY.md``, all run by ``make bench-capacity``."""
