// Package takeover replaces a running process by a new one at the same address without losing a
// connection or a request.
//
// The running process is the predecessor, the starting one the successor. The successor gets the
// listening socket in a handshake (package handover), obtains the endpoint list from discovery and the
// dispatcher's estimates from the predecessor's snapshot, and reports that it is ready. From then on
// both processes accept connections, each with a part of the descriptor and memory quotas. Once the
// predecessor is ordered to stop, it migrates its connections, with the requests that wait on them, a
// bounded number at a time. When either process exits, the other one has the full quotas again.
//
// While both processes run, each knows the IDs of the requests in flight in the other, so that it
// recognizes a client's retry of one of them, and relays worker callbacks whose request it does not
// have.
//
// The files:
//   - address.go acquires the listening socket,
//   - manager.go holds the state and dispatches the messages,
//   - predecessor.go and successor.go implement the two roles,
//   - migration.go sends connections, adoption.go receives them,
//   - record.go encodes the request of a migrating connection,
//   - snapshot.go transfers the dispatcher's snapshot,
//   - callback.go relays worker callbacks,
//   - service.go declares what this package needs from the process that it runs in.
package takeover
