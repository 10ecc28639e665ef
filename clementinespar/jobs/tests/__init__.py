"""Tests of the slice for jobs."""
