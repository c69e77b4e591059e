"""Output for people and programs: tables, plots, metrics, logs and the audit trail."""
