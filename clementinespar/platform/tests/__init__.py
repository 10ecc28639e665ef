"""Tests of ``clementinespar.platform``."""
