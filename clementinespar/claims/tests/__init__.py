"""Tests of ``clementinespar.claims``."""
