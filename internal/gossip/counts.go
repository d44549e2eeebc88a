package gossip

import "sync/atomic"

// Counts are the numbers of datagrams of a Transport, by outcome. They may be read in any
// goroutine.
type Counts struct {
	Sent          atomic.Uint64 // written to the socket
	Received      atomic.Uint64 // valid, and passed to OnReceive
	NotSent       atomic.Uint64 // not sent, because the queue was full or the socket failed
	UnknownSender atomic.Uint64 // not received from the address of the scheduler that the header names
	Stale         atomic.Uint64 // from before a restart of the sender, too old, or a duplicate
	Malformed     atomic.Uint64 // of another version, truncated or undecodable
	Dropped       atomic.Uint64 // received while too many datagrams were waiting for the loop
}

// CountsByName returns the counts under the names that operators see.
func (t *Transport) CountsByName() map[string]uint64 {
	c := &t.Counts
	return map[string]uint64{
		"sent":    c.Sent.Load(),
		"heard":   c.Received.Load(),
		"unsent":  c.NotSent.Load(),
		"foreign": c.UnknownSender.Load(),
		"old":     c.Stale.Load(),
		"broken":  c.Malformed.Load(),
		"crowded": c.Dropped.Load(),
	}
}
