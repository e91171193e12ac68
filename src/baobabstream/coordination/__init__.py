"""Control daemon that keeps routing configurations, rollouts and announcements."""
