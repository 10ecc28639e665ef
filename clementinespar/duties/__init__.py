"""Duty leases, which let one node at a time do a background duty."""
