"""State that lives as long as one entry process.

`entry` runs the packages below it: `membership`, `configuration`,
`observation`, `groups`, `permits`, `serving` and `operators`. The other
modules are what these packages, and the gateway, have in common: time,
settings, logs, telemetry, deadlines and the interfaces between the parts.
"""
