// Package load is an open-loop load generator: it sends each request of a scenario over a real
// connection at its intended time, without waiting for earlier answers. A load that waits for its
// answers hides all queueing, so the package also reports how late the requests were sent.
package load
