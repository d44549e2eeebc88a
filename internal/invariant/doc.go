// Package invariant checks the invariants of sending, retrying, answering, closing and of worker starts, independently of
// the code that decides:
//
//   - each attempt passes CheckSend directly before its first byte is written (send.go),
//   - each final answer passes CheckAnswer (answer.go),
//   - each connection that the scheduler closes passes CheckClose (close.go),
//   - each start of a worker passes CheckStart (start.go).
//
// The Checker keeps a record of its own of every open request, so that a mistake of the deciding code shows: what must not
// happen is prevented where it can be, counted, and reported with the history of the request (violations.go, history.go).
//
// The package does no I/O and reads no clock but the one it is given.
package invariant
