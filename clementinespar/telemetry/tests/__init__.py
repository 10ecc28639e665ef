"""Tests of ``clementinespar.telemetry``."""
