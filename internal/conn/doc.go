// Package conn drives network connections from one event loop.
//
// Two goroutines a connection only move bytes between its socket and its rings. All else runs in the
// goroutine of the Loop: the tasks that these goroutines post, timers, and the Handler of each
// connection. Methods of this package are called there unless their comment says otherwise, so
// owners of connections need no locks.
//
// A Quota bounds the descriptors of one side of the service and decides which connection is evicted
// where they run out. A CloseReason says how a connection or a request over it came to its end, and
// maps to the dispatcher's result for that.
package conn
