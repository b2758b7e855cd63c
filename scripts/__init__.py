"""Maintenance commands of the repository."""
