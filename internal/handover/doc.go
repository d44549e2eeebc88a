// Package handover connects a process that is to replace another one (the successor) with the process that serves at
// the same address (the predecessor).
//
// The predecessor listens at a Unix socket whose path follows from its TCP address (SocketPath, Listen). The successor
// dials that path and gets the listening TCP socket by descriptor passing (Dial). From then on the two exchange messages
// over a Link for as long as both live. The socket keeps packet boundaries, so that a message and the descriptor that
// belongs to it stay together and nothing has to be framed.
//
// What the messages mean to the service is decided by its users; this package knows their encoding alone.
package handover
