// Package conn runs network connections on a single event loop.
//
// Each connection has two goroutines, a reader and a writer, which only move bytes between the
// socket and the connection's ring buffers. Everything else runs on the goroutine of the Loop:
// tasks posted by the readers and writers, timers, and each connection's Handler. Unless its
// comment says otherwise, a method of this package must be called on the loop goroutine, so users
// of connections need no locks.
//
// A Quota limits the file descriptors of one side of the service, such as its client connections,
// and picks the connection to evict when they run out. A CloseReason says why a connection, or a
// request sent over it, ended, and maps to a result for the dispatcher.
package conn
