"""Slopes for ``docs/CAPACITY.md``: ``make bench-capacity`` runs all of them."""
