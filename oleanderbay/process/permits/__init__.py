"""How many requests each entry may have in flight at an upstream.

Owns the messages between holders and owners (`asks`), what an owner grants
(`grants`), what a holder has (`holding`), and the service that acquires and
grants permits (`permits`).
"""
