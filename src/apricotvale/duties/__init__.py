"""Singleton tasks of the control leader: usage by customer, reported to the infrastructure."""
