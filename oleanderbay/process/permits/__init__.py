"""How many requests each entry may have in flight at an upstream.

Owns the owner of an upstream's permits and the times that all agree on
(`ownership`), the messages between owners and holders (`messages`), what an
owner knows (`accounts`) and grants (`grants`), what a holder has (`holding`),
and the service that acquires permits and answers other holders (`permits`).
"""
