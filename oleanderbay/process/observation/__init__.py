"""What is known of instances, and which upstreams may get new work.

Owns the instance list (`inventory`), which entries read the reports of an
upstream (`readers`), the reports and their history (`members`), the exchange
of judgements between readers (`sightings`, `reports`) and the resulting
eligibility (`eligibility`).
"""
