"""Tests of ``clementinespar.admin``."""
