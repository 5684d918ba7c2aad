"""The router host, which connects clients, the decision module and servers; configuration and start."""
