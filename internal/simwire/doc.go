// Package simwire speaks the simulator's protocol: frames of binary records, little-endian, one reply for each batch. Serve is
// the adapter's side, which hands events to deciders and writes their actions; Host is the simulator's side. The package
// decides nothing.
//
// protocol.go holds the numbers of the protocol; cursor.go and writer.go read and write the fields of a record, batch.go a
// frame; event_reader.go, event_writer.go and action.go the records.
package simwire
