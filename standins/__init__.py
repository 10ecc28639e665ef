"""Stand-ins of the platform and of targets, for tests, the demo and the benches."""
