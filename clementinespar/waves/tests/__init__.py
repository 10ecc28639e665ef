"""Tests of ``clementinespar.waves``."""
