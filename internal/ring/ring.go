// Package ring provides a small ring buffer for the bytes of one direction of a connection.
package ring

import "sync"

// Size is the capacity of a Buffer, in bytes. It is small because thousands of connections may be
// open at once; messages that are longer pass through the buffer in parts.
const Size = 4 << 10

// arrayPool holds the arrays that no Buffer uses, so that idle connections don't occupy any.
var arrayPool = sync.Pool{New: func() any { return new([Size]byte) }}

// Buffer is a ring buffer. Its zero value is empty. The slices returned by FreeSpace and Bytes
// never overlap, so one goroutine may fill the former or send the latter while the owner of the
// buffer works on the rest of it. Only the owner may call methods.
type Buffer struct {
	array  *[Size]byte // nil before the first use and after Release
	start  int         // index of the first byte held
	length int         // number of bytes held
}

// FreeSpace returns the next contiguous run of free bytes, which is empty if the buffer is full. It
// allocates the buffer's array if there is none.
func (b *Buffer) FreeSpace() []byte {
	if b.array == nil {
		b.array = arrayPool.Get().(*[Size]byte)
	}
	end := (b.start + b.length) % Size
	return b.array[end : end+min(Size-end, Size-b.length)]
}

// Commit appends the first n bytes of the slice that FreeSpace returned.
func (b *Buffer) Commit(n int) { b.length += n }

// Bytes returns the first contiguous run of bytes held, which is empty if the buffer is empty.
func (b *Buffer) Bytes() []byte {
	if b.array == nil {
		return nil
	}
	return b.array[b.start : b.start+min(Size-b.start, b.length)]
}

// Discard discards the first n bytes of the slice that Bytes returned.
func (b *Buffer) Discard(n int) {
	b.length -= n
	b.start = (b.start + n) % Size
}

// Unallocated reports whether the buffer has no array allocated. It may return false although the
// buffer holds no bytes.
func (b *Buffer) Unallocated() bool { return b.array == nil }

// Len returns the number of bytes held.
func (b *Buffer) Len() int { return b.length }

// Write copies as much of p as fits and returns the number of bytes copied.
func (b *Buffer) Write(p []byte) (n int) {
	for n < len(p) {
		copied := copy(b.FreeSpace(), p[n:])
		if copied == 0 {
			break
		}
		b.Commit(copied)
		n += copied
	}
	return n
}

// Release discards all bytes and returns the array to the pool. No goroutine may use a slice of the
// buffer any more.
func (b *Buffer) Release() {
	if b.array != nil {
		arrayPool.Put(b.array)
	}
	*b = Buffer{}
}
