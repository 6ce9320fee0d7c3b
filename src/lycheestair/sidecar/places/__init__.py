"""Where requests may be served: allowed regions, evacuations, cold servers."""
