"""How much longer work takes at a backend server now."""
