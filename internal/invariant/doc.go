// Package invariant checks the invariants of sending and retrying, answering, closing connections, and of
// worker starts, independently of the code that makes the decisions:
//
//   - each attempt passes CheckSend directly before its first byte is written (send.go),
//   - each final answer passes CheckAnswer (answer.go),
//   - each connection that the scheduler closes passes CheckClose (close.go),
//   - each start of a worker passes CheckStart (start.go).
//
// The Checker keeps its own record of every open request, so that it detects mistakes of the deciding code.
// A violation is prevented where that is possible, counted, and reported with the history of the request
// (violations.go, history.go).
//
// The package does no I/O, and reads only the clock that it is given.
package invariant
