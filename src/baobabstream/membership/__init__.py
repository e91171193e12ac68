"""Connection of an entry host to the control hosts: polls, lease and evidence."""
