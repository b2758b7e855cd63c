"""The services of the project's own protocols, with their adapters."""
