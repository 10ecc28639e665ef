"""Measurements of the policy with the product's own decision code."""
