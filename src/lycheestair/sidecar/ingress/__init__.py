"""Connections of clients: reads their requests and returns the responses."""
