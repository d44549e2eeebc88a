package gossip

import "sync/atomic"

// Counts are the datagrams of a Transport by what became of them. Any goroutine may read them.
type Counts struct {
	Sent    atomic.Uint64 // written to the socket
	Heard   atomic.Uint64 // valid, and passed to OnReceive
	Unsent  atomic.Uint64 // not sent: the queue was full, or the socket failed
	Foreign atomic.Uint64 // not from the address of the scheduler that it names
	Old     atomic.Uint64 // from before a restart of its sender, too old, or a duplicate
	Broken  atomic.Uint64 // of another version, cut short, or garbled
	Crowded atomic.Uint64 // received while too many waited for the loop
}

// CountsByName returns the counts by the names that operators see.
func (t *Transport) CountsByName() map[string]uint64 {
	c := &t.Counts
	return map[string]uint64{
		"sent":    c.Sent.Load(),
		"heard":   c.Heard.Load(),
		"unsent":  c.Unsent.Load(),
		"foreign": c.Foreign.Load(),
		"old":     c.Old.Load(),
		"broken":  c.Broken.Load(),
		"crowded": c.Crowded.Load(),
	}
}
