"""Demo of both users' deployments, run as separate processes."""
