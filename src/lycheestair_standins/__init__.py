"""Stand-ins for the store, backend servers and network, and key nodes."""
