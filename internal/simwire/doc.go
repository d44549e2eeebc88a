// Package simwire implements the simulator's protocol: frames of little-endian binary records, with
// one reply for each batch of events. Serve is the adapter's side, which passes events to deciders and
// writes their actions; Host is the simulator's side. The package makes no scheduling decisions.
//
// protocol.go defines the constants of the protocol. cursor.go and writer.go decode and encode fields,
// event_reader.go, event_writer.go and action.go records, and batch.go decodes a frame.
package simwire
