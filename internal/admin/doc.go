// Package admin serves the operators' commands: one line a connection, on an address of its own, so that a crowd of clients
// keeps no operator out.
package admin
