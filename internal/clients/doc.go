// Package clients is the HTTP/1.1 server for clients' invocations and workers' callbacks, which share
// one listening address. Everything runs on a single event loop, except the goroutine that blocks in
// accept.
//
// An invocation request passes through these files in order:
//
//   - listener.go accepts its connection once a file descriptor is free;
//   - connection.go reads it, one request at a time, within the deadlines set in deadline.go;
//   - routes.go selects the handler by the request's path;
//   - request.go parses it and admits, rejects or sheds it, using the checks in validate.go and the
//     credentials in tenancy.go;
//   - inflight.go and identifiers.go track it until it has been answered;
//   - answer.go writes exactly one final answer, unless the client disconnects first, which
//     connection.go records.
//
// callback.go handles workers' callbacks. shutdown.go applies the behavior that the process lifecycle
// prescribes. migrate_out.go and migrate_in.go move open connections between this process and the
// other process that serves the same address, its predecessor or successor.
package clients
