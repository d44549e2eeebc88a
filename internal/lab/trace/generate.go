package trace

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
)

const (
	// generatorStream is the stream of random numbers that Generate draws from, besides its seed.
	generatorStream = 0x67656e
	// microsPerSecond converts to the unit of the generated times.
	microsPerSecond = 1e6
	// generatedRun is the scale of generated run times, in microseconds.
	generatedRun = 50e3
	// batchFactor is how much longer a batch row runs.
	batchFactor = 4
	// setBack is how far an out-of-order row is set back, in microseconds.
	setBack = 5e6
	// ratePhase is how many rows the rate holds, which is low and high in turn.
	ratePhase = 5000
	// generatedUsers is the number of tenants.
	generatedUsers = 50
)

// generatedKinds are drawn with equal chances.
var generatedKinds = []string{"small", "small", "small", "batch", "batch", "prod"}

// Generate writes a trace of so many rows, with a header, for trying things out: bursts, heavy tails, and one row in
// anomalyEvery that is anomalous (0: none). rate is in rows a second.
func Generate(out io.Writer, rows int, seed int64, rate float64, anomalyEvery int) error {
	w := bufio.NewWriterSize(out, bufferSize)
	rng := rand.New(rand.NewPCG(uint64(seed), generatorStream))
	fmt.Fprintln(w, "time_us,collection_type,user,cpu_request,run_us")
	at := 0.0 // in microseconds
	for n := range rows {
		phaseRate := rate * (0.6 + 0.8*float64(n/ratePhase%2))
		at += rng.ExpFloat64() / phaseRate * microsPerSecond
		run := generatedRun * math.Exp(rng.NormFloat64())
		kind := generatedKinds[rng.IntN(len(generatedKinds))]
		if kind == "batch" {
			run *= batchFactor
		}
		row := generatedRow{
			time: strconv.FormatInt(int64(at), 10),
			kind: kind,
			run:  strconv.FormatInt(int64(run), 10),
		}
		if anomalyEvery > 0 && n%anomalyEvery == anomalyEvery-1 {
			row.corrupt(n/anomalyEvery, at)
		}
		if row.cutShort {
			fmt.Fprintln(w, row.time)
			continue
		}
		user := rng.IntN(generatedUsers)
		cpu := 0.25 + rng.Float64()*1.5
		fmt.Fprintf(w, "%s,%s,u%d,%.2f,%s\n", row.time, row.kind, user, cpu, row.run)
	}
	return w.Flush()
}

// generatedRow has the fields of a row that can be anomalous.
type generatedRow struct {
	time, kind, run string
	cutShort        bool
}

// corrupt makes the row anomalous, in four ways in turn.
func (r *generatedRow) corrupt(turn int, at float64) {
	switch turn % 4 {
	case 0:
		r.run = "n/a"
	case 1:
		r.time = strconv.FormatInt(int64(at)-setBack, 10)
	case 2:
		r.kind = "gpu"
	case 3:
		r.cutShort = true
	}
}
