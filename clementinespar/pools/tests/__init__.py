"""Tests of ``clementinespar.pools``."""
