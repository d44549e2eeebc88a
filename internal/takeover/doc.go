// Package takeover replaces one process by another at the same address without losing a connection or a request.
//
// The process that serves is the predecessor, the one that starts is the successor. The successor gets the listening
// socket by a handshake (package handover), learns the endpoint list for itself and the dispatcher's estimates from the
// predecessor's snapshot, and reports that it is ready. From then on both accept connections, each with a part of the
// descriptors and of the memory. Once the predecessor is told to stop, it migrates its connections, with the requests
// that wait on them, a bounded number at a time. When one of the two exits, the other one has all quotas again.
//
// While both live, each knows the IDs of the other's requests, so that a client's repeat is recognized, and relays
// callbacks of workers whose request is not its own.
//
// The files: address.go acquires the listening socket, manager.go has the state and the messages, predecessor.go and
// successor.go the two roles, migration.go and adoption.go the two sides of a migrating connection, record.go the
// encoding of its request, snapshot.go the dispatcher's snapshot, callback.go the relayed callbacks, and service.go what
// this package needs of the process that it runs in.
package takeover
