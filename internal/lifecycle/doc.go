// Package lifecycle is the state machine of a process between its start and its exit: the states, the orders and events
// that lead from one to another, and what each state lets through. Readiness, the admin commands, the client listener and
// the graceful shutdown all follow the Behavior it gives.
//
// The package has neither clock nor I/O: each event comes with its time, as time since the start of the process.
package lifecycle
