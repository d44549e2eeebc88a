// Package ring provides a small ring buffer for the bytes of one direction of a connection.
package ring

import "sync"

// Size is the capacity of a Buffer, in bytes. It is small, as thousands of connections may be open at once; longer
// messages pass through it in turns.
const Size = 4 << 10

// pool holds stores that no Buffer uses, so that idle connections need none.
var pool = sync.Pool{New: func() any { return new([Size]byte) }}

// Buffer is a ring buffer, empty in its zero value. The slices that Room and Bytes return never overlap: one
// goroutine may fill the one or send the other while the owner of the buffer works on the rest of it. Only the
// owner calls methods.
type Buffer struct {
	store  *[Size]byte // nil: none is needed yet, or it was given back
	start  int         // index of the first byte held
	length int         // bytes held
}

// Room returns the next contiguous run of free bytes, which is empty when the buffer is full.
func (b *Buffer) Room() []byte {
	if b.store == nil {
		b.store = pool.Get().(*[Size]byte)
	}
	end := (b.start + b.length) % Size
	return b.store[end : end+min(Size-end, Size-b.length)]
}

// Add appends the first n bytes of the slice that Room returned.
func (b *Buffer) Add(n int) { b.length += n }

// Bytes returns the next contiguous run of bytes held, which is empty when there are none.
func (b *Buffer) Bytes() []byte {
	if b.store == nil {
		return nil
	}
	return b.store[b.start : b.start+min(Size-b.start, b.length)]
}

// Drop discards the first n bytes of the slice that Bytes returned.
func (b *Buffer) Drop(n int) {
	b.length -= n
	b.start = (b.start + n) % Size
}

// Empty reports whether the buffer has no store; one that has may still hold no bytes.
func (b *Buffer) Empty() bool { return b.store == nil }

// Len returns the number of bytes held.
func (b *Buffer) Len() int { return b.length }

// Write copies as much of p as fits and returns how many bytes that is.
func (b *Buffer) Write(p []byte) (n int) {
	for n < len(p) {
		copied := copy(b.Room(), p[n:])
		if copied == 0 {
			break
		}
		b.Add(copied)
		n += copied
	}
	return n
}

// Free discards all bytes and gives the store back; no goroutine may still use a slice of it.
func (b *Buffer) Free() {
	if b.store != nil {
		pool.Put(b.store)
	}
	*b = Buffer{}
}
