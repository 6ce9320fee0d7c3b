"""Lean node: one task for each connection and peer, in one thread."""
