"""Tests of ``clementinespar.fleet``."""
