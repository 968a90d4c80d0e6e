"""The request path: caller and target connections, forwarding and retries."""
