"""Moves of hosts between pools, so that capacity follows demand."""
