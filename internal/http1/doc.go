// Package http1 parses and writes HTTP/1.1 messages. The parser is a state machine that receives
// bytes from its caller and uses neither sockets nor clocks.
//
//   - message.go, status.go: messages, parse errors and status codes
//   - parser.go: the parser's states, and message bodies
//   - head.go, framing.go: the head of a message, and the length of its body
//   - chunked.go: chunk sizes and trailers of chunked bodies
//   - write.go: encoding of requests and responses
package http1
