"""What is known of instances, and which upstreams may get new work.

Owns the instance list (`inventory`), which entries read the reports of an
upstream (`readers`), the connections to engines (`engines`), the reports and
their history (`members`), what each reader says of groups (`group_states`),
polling and the exchange between readers (`reports`), suspected failures
(`suspicions`), and the resulting eligibility (`eligibility`).
"""
