"""Pure routing decisions: events and times in, typed decisions out."""
