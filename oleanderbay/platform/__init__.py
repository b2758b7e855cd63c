"""The adapter to the users' platform; it makes no decisions."""
