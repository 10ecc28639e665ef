"""Maintenance waves."""
