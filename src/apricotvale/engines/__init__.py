"""What the leader knows about model engines: speed, cached prompt parts and urgency of runs."""
