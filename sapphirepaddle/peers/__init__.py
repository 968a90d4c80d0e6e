"""Communication between daemons.

The entry daemons gossip over a mesh of TCP connections (`mesh`, `gossip`,
`members`, with the schema `messages.capnp`). The edge daemons exchange counts
in UDP datagrams (`count_exchange`, `fleet`, `digest`, with the schema
`digest.capnp`).
"""
