"""Observes instances and determines which upstreams may get new work.

Modules:
    inventory: Polls the instance list.
    readers: Selects the entries that read the reports of an upstream.
    engines: Adapters for the control API of engines.
    members: Tracks member reports and assesses groups from them.
    group_states: Group states received from all readers.
    reports: Polls member reports and exchanges group states between entries.
    suspicions: Tracks upstreams that are suspected to have failed.
    eligibility: Combines all of these into lists of eligible upstreams.
"""
