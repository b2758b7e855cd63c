"""Adapter to the users' platform: converts messages, makes no decisions."""
