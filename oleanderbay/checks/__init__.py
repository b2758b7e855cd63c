"""Executable checks of the system's promises."""
