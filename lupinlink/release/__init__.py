"""Who may be out and when: permits, releases in waves, gates, halt and the way back. Off in a plain serve."""
