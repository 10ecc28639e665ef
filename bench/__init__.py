"""Benchmarks of the policy, of whole processes and of the planned size."""
