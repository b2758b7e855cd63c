"""The path of callers' requests through one entry.

Owns the listener for callers (`callers`), the check of their requests for
completions (`completions`), the addresses that they are told (`addresses`) and
the input of the prefix index (`cachefeed`). `service` runs these parts with
those of `oleanderbay.request`.
"""
