"""Tests of ``clementinespar.peers``."""
