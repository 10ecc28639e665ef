"""Tests of jobs on workers."""
