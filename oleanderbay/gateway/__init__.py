"""Gateway that serves workers registered in a shared metadata store."""
