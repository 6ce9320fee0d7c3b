"""Sidecar node with a small memory footprint.

It runs one asyncio task per connection and per peer, in one thread.
"""
