// Package clients is the HTTP/1.1 server that accepts clients' invocations and workers' callbacks,
// which arrive at the same address. All of it runs on one event loop, apart from the goroutine that
// blocks in accept.
//
// A request for an invocation passes these files in order:
//
//   - listener.go accepts its connection, as long as a descriptor is free;
//   - connection.go reads it, one request at a time, within the deadlines of deadline.go;
//   - routes.go picks the handler by its path;
//   - request.go parses it, with the checks of validate.go and the credentials of tenancy.go, and
//     admits, rejects or sheds it;
//   - inflight.go and identifiers.go track it until its answer;
//   - answer.go writes exactly one final answer, or records that the client disconnected.
//
// callback.go handles workers' callbacks. shutdown.go applies the behavior that the lifecycle of
// the process demands. migrate_out.go and migrate_in.go move connections between this process and
// its successor.
package clients
