package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// maxFieldSize is the size in bytes of the longest field of fixed size.
const maxFieldSize = 8

// cursor decodes the fields of records. After a truncated field, err stays set and all further fields
// read as zero.
type cursor struct {
	remaining []byte
	err       error
}

// take returns the next n bytes. After an error it returns zeros, at most maxFieldSize of them.
func (c *cursor) take(n int) []byte {
	if c.err == nil && n > len(c.remaining) {
		c.err = fmt.Errorf("record cut short: %d bytes wanted, %d left", n, len(c.remaining))
	}
	if c.err != nil {
		return make([]byte, min(n, maxFieldSize))
	}
	field := c.remaining[:n]
	c.remaining = c.remaining[n:]
	return field
}

func (c *cursor) u8() uint8    { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

// text reads a field that begins with its length in bytes.
func (c *cursor) text() []byte { return c.take(int(c.u16())) }

func (c *cursor) invocation() dispatch.InvocationID { return dispatch.InvocationID(c.u64()) }

func (c *cursor) worker() dispatch.WorkerID {
	b := c.take(6)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.LittleEndian.Uint16(b[4:]))
}

// load reads a load report; nil: the record has none.
func (c *cursor) load(report settings.Report) *dispatch.LoadReport {
	n := int(c.u8())
	if n == 0 {
		return nil
	}
	load := dispatch.UnknownLoad
	for i := range n {
		value := c.f32()
		if field := report.Field(&load, i); field != nil {
			*field = value
		}
	}
	return &load
}
