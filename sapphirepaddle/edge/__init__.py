"""The edge daemon, which runs on each of the platform's VMs."""
