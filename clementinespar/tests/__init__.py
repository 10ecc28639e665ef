"""Tests of the top-level modules, and helpers that all tests share."""
