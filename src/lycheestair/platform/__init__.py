"""Adapter to the client's platform: its names, formats and protocols."""
