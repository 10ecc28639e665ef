"""Tests of ``clementinespar.capacity``."""
