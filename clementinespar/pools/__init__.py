"""Pool membership, availability budgets and host operations."""
