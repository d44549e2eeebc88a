package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// batch is one frame from the simulator, with its records still encoded.
type batch struct {
	clock   float64 // time of the batch by the simulator's clock, in seconds
	records int     // number of records in body
	body    []byte
}

// readBatch reads one frame. The error is io.EOF if the input ends before the frame begins.
func readBatch(r io.Reader) (batch, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return batch{}, errors.New("frame cut short in its length field")
		}
		return batch{}, err
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size < batchHeaderSize-lengthSize {
		return batch{}, fmt.Errorf("frame of %d bytes is too short for its header", size)
	}
	if size > maxFrameSize {
		return batch{}, fmt.Errorf("frame of %d bytes is over the limit of %d", size, maxFrameSize)
	}
	// ReadAll grows the buffer as data arrives, so a wrong length does not allocate memory up front.
	frame, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return batch{}, err
	}
	if len(frame) < int(size) {
		return batch{}, fmt.Errorf("frame cut short: %d of %d bytes", len(frame), size)
	}
	return batch{
		records: int(binary.LittleEndian.Uint32(frame)),
		clock:   math.Float64frombits(binary.LittleEndian.Uint64(frame[clockOffset-lengthSize:])),
		body:    frame[batchHeaderSize-lengthSize:],
	}, nil
}
