"""The interfaces of operators and their tools.

Owns the gRPC listener (`listener`), the answers to its calls (`servicer`),
streams of configuration updates (`watches`) and the listener for health,
readiness, status and metrics (`admin`).
"""
