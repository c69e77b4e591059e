"""What people and programs read: tables, JSON, logs and the audit trail."""
