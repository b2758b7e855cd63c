"""Forms serving groups from instances and carries out planned changes.

Modules:
    fleet_state: Builds the input of placement decisions.
    rollout: Chooses the groups that a rolling update replaces next.
    proposer: Appends assign and dissolve records to the log.
    orders: Orders engines to take their roles in groups.
    change_controller: Advances planned changes through their stages.
    cache_transfer: Copies prefix caches of stopping groups.
    service: Runs these parts and those of `observation`.
"""
