"""Connection of an entry host, which accepts requests of clients, to the control hosts.

The entry polls the leader of the control hosts for the configuration and the backend servers. A
poll that succeeds renews the entry's lease, the permission to serve requests for a time. Polls also
carry evidence, which is the results of each model version that the entry has counted.
"""
