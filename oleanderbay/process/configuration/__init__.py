"""How all entries come to the same configuration.

Owns reading the log in order (`follower`), the state at start (`bootstrap`),
records and snapshots from peers (`relay`), the comparison of states
(`divergence`), whether the state is recent enough to accept work
(`freshness`), appends and their budget (`appender`, `budget`), checkpoints
(`checkpoints`), verdicts on applied records (`applied`), one proposal until a
majority has applied it (`submission`), and the offsets in force at the entries
(`versions`). `replication` runs these parts as one service.
"""
