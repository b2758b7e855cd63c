"""The schema of the operators' remote procedure calls."""
