"""The admin port: status, explanations, publication, metrics, health."""
