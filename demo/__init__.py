"""The demo: both users' deployments as separate processes."""
