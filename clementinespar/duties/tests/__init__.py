"""Tests of ``clementinespar.duties``."""
