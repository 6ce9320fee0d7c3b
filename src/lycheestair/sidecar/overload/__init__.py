"""Decisions of a serving node whose backend server can't run all requests."""
