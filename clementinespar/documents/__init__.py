"""Operators' documents: model, checks, publication and promotion."""
