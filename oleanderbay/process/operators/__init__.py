"""The interfaces of operators and their tools.

Owns the gRPC listener (`listener`), streams of configuration updates
(`watches`) and the listener for health, readiness, status and metrics
(`admin`).
"""
