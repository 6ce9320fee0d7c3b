"""Whether the local backend server still runs when its node has restarted."""
