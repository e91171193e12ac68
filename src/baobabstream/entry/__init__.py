"""Entry daemon: caller connections and relaying of answers."""
