// Package tenants decides how much of the service each of its tenants may use. It reads no clock and
// does no I/O: callers pass in the time.
//
// Tenant and Spec describe a tenant, and Spec.Validate checks what an administrator sends. Directory
// holds all tenants and turns administrative requests into Changes; applied in order, these give the
// same directory on every scheduler. Controller is the admission controller of one scheduler: it
// enforces the limits of each tenant and divides the capacity among the active tenants.
package tenants
