"""Tests of ``clementinespar.log``."""
