"""Operators' documents: model, publication and promotion."""
