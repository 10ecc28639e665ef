"""Membership of the entry nodes and the gRPC protocol between them."""
