// Package store keeps the directory of tenants on disk: an append-only log with one writer and any
// number of followers.
//
// The first record of a log is a snapshot, and each later one is a change or another snapshot; every
// record has a checksum. A change is synced before it is reported as done. After many changes the
// log is compacted: a new one with a single snapshot takes its name. The process that holds the lock
// writes, and a follower takes over once the lock is free.
package store
