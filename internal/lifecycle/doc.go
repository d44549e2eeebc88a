// Package lifecycle implements the state machine of a process from its start to its exit: the states, the
// commands and events that cause transitions, and the behavior in each state. Readiness checks, the admin
// commands, the client listener and the graceful shutdown all follow this Behavior.
//
// The package has no clock and does no I/O. Each event is passed with its time, given as the time since
// the start of the process.
package lifecycle
