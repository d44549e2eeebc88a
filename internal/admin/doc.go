// Package admin serves the operators' commands, one line of text per connection. It listens on an
// address of its own, so that operators can still connect while clients use up the connections of
// the service.
package admin
