package gossip

import "sync/atomic"

// Counts are the datagrams of a Transport by what became of them. Any goroutine may read them.
type Counts struct {
	Sent          atomic.Uint64 // written to the socket
	Received      atomic.Uint64 // valid, and passed to OnReceive
	NotSent       atomic.Uint64 // not sent: the queue was full, or the socket failed
	UnknownSender atomic.Uint64 // not from the address of the scheduler that it names
	Stale         atomic.Uint64 // from before a restart of its sender, too old, or a duplicate
	Malformed     atomic.Uint64 // of another version, cut short, or garbled
	Dropped       atomic.Uint64 // received while too many waited for the loop
}

// CountsByName returns the counts by the names that operators see.
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
