// Package ring holds the bytes of one direction of a connection.
package ring

import "sync"

// Size is small, as a thousand connections may stand open in little memory; what is longer passes in turns.
const Size = 4 << 10

var pool = sync.Pool{New: func() any { return new([Size]byte) }}

// Buffer is a ring. The slices that Room and Bytes give never overlap, so that a goroutine may fill the one or
// send the other while the owner works elsewhere in the ring; only the owner calls methods.
type Buffer struct {
	store      *[Size]byte
	from, size int
}

// Room is the next free run of bytes, empty when the ring is full.
func (b *Buffer) Room() []byte {
	if b.store == nil {
		b.store = pool.Get().(*[Size]byte)
	}
	at := (b.from + b.size) % Size
	return b.store[at : at+min(Size-at, Size-b.size)]
}

// Add takes in n bytes that were written to what Room gave.
func (b *Buffer) Add(n int) { b.size += n }

// Bytes is the next run of bytes held, empty when there are none.
func (b *Buffer) Bytes() []byte {
	if b.store == nil {
		return nil
	}
	return b.store[b.from : b.from+min(Size-b.from, b.size)]
}

// Drop lets n bytes of what Bytes gave go.
func (b *Buffer) Drop(n int) {
	b.size -= n
	b.from = (b.from + n) % Size
}

// Empty tells that the ring holds no store yet, or none any more.
func (b *Buffer) Empty() bool { return b.store == nil }

// Len counts the bytes held.
func (b *Buffer) Len() int { return b.size }

// Write copies in what there is room for and says how much that was.
func (b *Buffer) Write(p []byte) (n int) {
	for n < len(p) {
		c := copy(b.Room(), p[n:])
		if c == 0 {
			break
		}
		b.Add(c)
		n += c
	}
	return n
}

// Free gives the store back; no goroutine may still use a slice of it.
func (b *Buffer) Free() {
	if b.store != nil {
		pool.Put(b.store)
	}
	*b = Buffer{}
}
