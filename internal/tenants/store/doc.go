// Package store keeps the directory of tenants on disk, in an append-only log with one writer and any
// number of followers.
//
// The first record of a log is a snapshot, and each later record is a change or another snapshot.
// Every record has a checksum. A change is synced to disk before it is acknowledged. After many
// changes the log is compacted: it is replaced by a new log with a single snapshot. The process that
// holds the lock is the writer; a follower takes over when the lock becomes free.
package store
