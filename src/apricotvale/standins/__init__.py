"""Stand-ins for the external systems, for trials and tests."""
