"""Benchmarks of the policy, which run the decision code of the product."""
