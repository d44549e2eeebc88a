// Package http1 reads and writes HTTP/1.1 messages. Its parser is a state machine that is fed bytes and knows
// neither sockets nor clocks.
//
//   - message.go, status.go: messages, errors and status codes
//   - parser.go: the states of the parser, and bodies
//   - head.go, framing.go: the head of a message, and where its body ends
//   - chunked.go: the lines between the chunks of a body
//   - write.go: messages to bytes
package http1
