// Package gossip exchanges messages between schedulers as datagrams. Delivery is best-effort:
// messages may be lost, late, duplicated or forged, and the dispatcher tolerates that. There are no
// connections and no acknowledgements, and every queue is bounded.
package gossip
