// Package gossip exchanges messages between schedulers as datagrams. It repairs nothing: messages may be lost,
// late, duplicated or forged, and the dispatcher tolerates that. There are no connections, no acknowledgements,
// and no queue without a limit.
package gossip
