"""Tests of ``clementinespar.requests``."""
