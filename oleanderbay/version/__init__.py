"""State that lives as long as one configuration version."""
