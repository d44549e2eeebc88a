// Package simwire is the simulator's wire: frames of binary records, and the words in which it speaks.
// It decides nothing. A second front would stand beside this package and hand the same events on.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// maxFrame is far above any batch a day can make; a larger length means that the stream is out of step.
const maxFrame = 1 << 28

// Batch is one frame from the simulator: the records are still packed.
type Batch struct {
	Clock   float64
	Records int
	Body    []byte
}

// ReadBatch takes one frame from r. At a clean end of input the error is io.EOF.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("frame cut short in its length field")
		}
		return Batch{}, err
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 12 {
		return Batch{}, fmt.Errorf("frame of %d bytes is too short for its header", size)
	}
	if size > maxFrame {
		return Batch{}, fmt.Errorf("frame of %d bytes is over the limit of %d", size, maxFrame)
	}
	// Grown as the bytes come in, so that a wrong length can't ask for memory that nothing fills.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return Batch{}, err
	}
	if len(body) < int(size) {
		return Batch{}, fmt.Errorf("frame cut short: %d of %d bytes", len(body), size)
	}
	return Batch{
		Records: int(binary.LittleEndian.Uint32(body)),
		Clock:   math.Float64frombits(binary.LittleEndian.Uint64(body[4:])),
		Body:    body[12:],
	}, nil
}

// cursor walks over packed fields. After a field that is not all there, err stays set and fields read as zero.
type cursor struct {
	rest []byte
	err  error
}

func (c *cursor) take(n int) []byte {
	if c.err == nil && n > len(c.rest) {
		c.err = fmt.Errorf("record cut short: %d bytes wanted, %d left", n, len(c.rest))
	}
	if c.err != nil {
		return make([]byte, min(n, 8))
	}
	field := c.rest[:n]
	c.rest = c.rest[n:]
	return field
}

func (c *cursor) u8() uint8    { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

// Reply gathers the actions of one batch.
type Reply struct {
	body    []byte
	records uint32
}

// Bytes frames the reply; the next batch may then Reset it.
func (r *Reply) Bytes() []byte {
	if r.body == nil {
		r.Reset()
	}
	binary.LittleEndian.PutUint32(r.body, uint32(len(r.body)-4))
	binary.LittleEndian.PutUint32(r.body[4:], r.records)
	return r.body
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.body, r.records = append(r.body[:0], make([]byte, 8)...), 0
}

func (r *Reply) record(code uint8, scheduler uint32) {
	if r.body == nil {
		r.Reset()
	}
	r.records++
	r.body = append(r.body, code)
	r.body = binary.LittleEndian.AppendUint32(r.body, scheduler)
}

func (r *Reply) u64(v uint64)  { r.body = binary.LittleEndian.AppendUint64(r.body, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.body = binary.LittleEndian.AppendUint16(r.body, uint16(len(s)))
	r.body = append(r.body, s...)
}
