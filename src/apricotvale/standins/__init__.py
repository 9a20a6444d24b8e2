"""Stand-ins for the outside systems, for trials and tests."""
