"""Client of the platform's host list and host actions."""
