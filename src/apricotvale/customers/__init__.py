"""Customers of the deployment, their keys, and what a caller may see."""
