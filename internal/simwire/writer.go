package simwire

import (
	"encoding/binary"
	"math"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// frameWriter encodes records into a frame. The header begins with the length of the frame and the
// number of records, which the method frame fills in; any other header fields are up to the caller.
type frameWriter struct {
	headerSize int    // in bytes
	body       []byte // including the header
	records    uint32 // number of records in body
}

// reset removes all records from the frame.
func (w *frameWriter) reset() {
	w.body = append(w.body[:0], make([]byte, w.headerSize)...)
	w.records = 0
}

// frame fills in the header and returns the frame, which is valid until the next reset.
func (w *frameWriter) frame() []byte {
	binary.LittleEndian.PutUint32(w.body, uint32(len(w.body)-lengthSize))
	binary.LittleEndian.PutUint32(w.body[lengthSize:], w.records)
	return w.body
}

// record begins a record of a scheduler.
func (w *frameWriter) record(code uint8, scheduler uint32) {
	w.records++
	w.u8(code)
	w.u32(scheduler)
}

func (w *frameWriter) u8(v uint8)    { w.body = append(w.body, v) }
func (w *frameWriter) u16(v uint16)  { w.body = binary.LittleEndian.AppendUint16(w.body, v) }
func (w *frameWriter) u32(v uint32)  { w.body = binary.LittleEndian.AppendUint32(w.body, v) }
func (w *frameWriter) u64(v uint64)  { w.body = binary.LittleEndian.AppendUint64(w.body, v) }
func (w *frameWriter) f32(v float64) { w.u32(math.Float32bits(float32(v))) }
func (w *frameWriter) f64(v float64) { w.u64(math.Float64bits(v)) }

// flag writes a boolean.
func (w *frameWriter) flag(set bool) {
	if set {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

// text writes a string after its length, truncated to the greatest length that the field can hold.
func (w *frameWriter) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.u16(uint16(len(s)))
	w.body = append(w.body, s...)
}

func (w *frameWriter) invocation(id dispatch.InvocationID) { w.u64(uint64(id)) }

func (w *frameWriter) worker(id dispatch.WorkerID) {
	addr := id.Addr().As4()
	w.body = append(w.body, addr[:]...)
	w.u16(id.Port())
}

// load writes a load report; for nil it writes that there is none.
func (w *frameWriter) load(load *dispatch.LoadReport, report settings.Report) {
	if load == nil {
		w.u8(0)
		return
	}
	w.u8(uint8(len(report.Names)))
	for i := range report.Names {
		value := 0.0
		if field := report.Field(load, i); field != nil {
			value = *field
		}
		w.f32(value)
	}
}
