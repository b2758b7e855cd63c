"""The request path: admission, routing, retries, delivery and keys."""
