"""Capacity that follows demand."""
