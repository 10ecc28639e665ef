"""Duty leases, which keep one node at a time on a background duty."""
