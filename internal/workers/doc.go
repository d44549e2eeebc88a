// Package workers is the transport to the workers: it sends attempts, health checks and cancels over
// pooled connections, and applies the callbacks that workers send.
//
// A Transport is confined to the goroutine of its conn.Loop: its methods must be called there and
// its callbacks run there, so the package needs no locks.
package workers
