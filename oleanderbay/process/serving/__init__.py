"""Handling of requests from callers in one entry.

`callers` is the HTTP listener, `completions` validates completion requests,
`addresses` lists the entries that callers should use, and `cache_feed` updates
the prefix index. `service` combines these with the modules of
`oleanderbay.request`.
"""
