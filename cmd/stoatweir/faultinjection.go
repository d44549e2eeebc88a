//go:build !soak

package main

// installFaultInjection does nothing: faults can only be injected in builds with the tag soak.
func installFaultInjection(*service) {}
