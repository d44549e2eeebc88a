//go:build !soak

package main

// installFaultInjection does nothing in the program as it is released.
func installFaultInjection(*service) {}
