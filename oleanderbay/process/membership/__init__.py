"""Which entries exist, and the links between them.

Owns the view of live entries (`membership`), the choice of links
(`neighbours`), the links and the messages on them (`peers`), the heartbeats
(`heartbeats`), the instance list as far as it names entries (`listing`) and the
order of preference that entries share duties by (`rendezvous`).
"""
