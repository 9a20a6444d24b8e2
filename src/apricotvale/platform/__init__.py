"""Adapter between the users' platform and the service.

It translates requests, bodies and header fields; decisions are made in other packages.
"""
