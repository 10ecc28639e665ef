"""Stand-ins and helpers of the cases in this folder; standard library only."""
