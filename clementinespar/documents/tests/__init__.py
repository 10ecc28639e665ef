"""Tests of ``clementinespar.documents``."""
