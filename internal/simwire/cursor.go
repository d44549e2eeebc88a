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

// cursor reads packed fields. Once a field is cut short, err stays set and all fields read as zero.
type cursor struct {
	rest []byte
	err  error
}

// take returns the next n bytes.
func (c *cursor) take(n int) []byte {
	if c.err == nil && n > len(c.rest) {
		c.err = fmt.Errorf("record cut short: %d bytes wanted, %d left", n, len(c.rest))
	}
	if c.err != nil {
		return make([]byte, min(n, maxFieldSize))
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

// text returns the bytes of a field that begins with their number.
func (c *cursor) text() []byte { return c.take(int(c.u16())) }

func (c *cursor) invocation() dispatch.InvocationID { return dispatch.InvocationID(c.u64()) }

func (c *cursor) worker() dispatch.WorkerID {
	b := c.take(6)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.LittleEndian.Uint16(b[4:]))
}

// load reads a load report; nil: none came.
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
