// Package load sends a scenario's load over real connections, each request at its time: an open loop. It reports how late the
// requests were sent, as the figures of a load that waits for its answers hide all queueing.
package load
