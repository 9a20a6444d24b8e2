"""Settings of deployments and processes: definitions, loading and validation."""
