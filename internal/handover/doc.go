// Package handover connects a starting process (the successor) with the process that it replaces at the
// same address (the predecessor).
//
// The predecessor listens at a Unix socket whose path is derived from its TCP address (SocketPath,
// Listen). The successor dials that path and receives the listening TCP socket by descriptor passing
// (Dial). From then on the two processes exchange messages over a Link for as long as both run. The
// Unix socket preserves packet boundaries, so that a message and its descriptor stay together and no
// framing is needed.
//
// This package defines the encoding of the messages. Its users define what a process does with them.
package handover
