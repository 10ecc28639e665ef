"""Small stand-ins of the platform and of targets, for the demo, tests and bench."""
