"""Limits the requests that each entry may have in flight at an upstream.

Each upstream has one owner among the entries. The owner grants permits to the
entries that send requests to the upstream, which are called holders.

- `ownership` selects the owner of an upstream and defines the settings.
- `messages` defines the messages between owners and holders.
- `owner_state` keeps the owner's state and `issuer` grants permits.
- `held_permits` keeps the holder's state.
- `permits` acquires permits and handles messages from other entries.
"""
