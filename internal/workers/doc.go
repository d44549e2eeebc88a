// Package workers is the transport to the workers: it carries attempts, health checks and cancels
// over pooled connections, and applies what workers report by callback.
//
// A Transport belongs to the goroutine of its conn.Loop: its methods are called there and call back
// there, so nothing here takes a lock.
package workers
