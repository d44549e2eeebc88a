// Package tenants decides what each tenant of one installation may use. It has neither clock nor
// I/O: callers pass the time in.
//
// Tenant and Spec describe a tenant and validate what an administrator sends. Directory holds all
// tenants and turns administrative requests into Changes, which are applied in order and give the
// same directory on every scheduler. Controller is the admission controller of one scheduler: it
// enforces the limits of each tenant and shares the capacity among those that are active.
package tenants
