"""The ``baobabstream`` command: operator commands, daemons, emulators and the bench."""
