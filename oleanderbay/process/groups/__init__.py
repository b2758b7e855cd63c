"""Which instances form serving groups, and how they are brought to do so.

Owns the situation that decisions start from (`fleet`), rolls of a model
version or adapter (`rolls`), proposals of groups (`proposer`), orders to
engines (`orders`), and planned changes (`driver`) with the move of their
prefix caches (`cachemove`). `service` runs these parts and those of
`observation`.
"""
