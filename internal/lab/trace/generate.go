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
	// generatorStream is the second seed word of Generate's random generator. The first is the caller's
	// seed.
	generatorStream = 0x67656e
	microsPerSecond = 1e6
	// medianRunMicros is the median run time of generated rows, which is log-normal.
	medianRunMicros = 50e3
	// batchRunFactor multiplies the run time of rows of kind "batch".
	batchRunFactor = 4
	// outOfOrderShiftMicros is how far the time of an out-of-order row is set back.
	outOfOrderShiftMicros = 5e6
	// rowsPerRatePhase is the length of the low and the high phase between which the rate alternates.
	rowsPerRatePhase = 5000
	// generatedUserCount is the number of different users, which a mapping can use as tenants.
	generatedUserCount = 50
)

// generatedKinds holds the values of collection_type. Each entry is drawn with equal probability, so a
// repeated value is more frequent.
var generatedKinds = []string{"small", "small", "small", "batch", "batch", "prod"}

// Generate writes a synthetic trace with a header and the given number of rows, for tests and trials.
// Its load has bursts and its run times a heavy tail. rate is in rows per second; the load alternates
// between 0.6 and 1.4 times rate. One row in anomalyEvery is anomalous, none if it is 0.
func Generate(out io.Writer, rows int, seed int64, rate float64, anomalyEvery int) error {
	w := bufio.NewWriterSize(out, bufferBytes)
	rng := rand.New(rand.NewPCG(uint64(seed), generatorStream))
	fmt.Fprintln(w, "time_us,collection_type,user,cpu_request,run_us")
	atMicros := 0.0
	for n := range rows {
		phaseRate := rate * (0.6 + 0.8*float64(n/rowsPerRatePhase%2))
		atMicros += rng.ExpFloat64() / phaseRate * microsPerSecond
		run := medianRunMicros * math.Exp(rng.NormFloat64())
		kind := generatedKinds[rng.IntN(len(generatedKinds))]
		if kind == "batch" {
			run *= batchRunFactor
		}
		row := generatedRow{
			time: strconv.FormatInt(int64(atMicros), 10),
			kind: kind,
			run:  strconv.FormatInt(int64(run), 10),
		}
		if anomalyEvery > 0 && n%anomalyEvery == anomalyEvery-1 {
			row.corrupt(n/anomalyEvery, atMicros)
		}
		if row.truncated {
			fmt.Fprintln(w, row.time)
			continue
		}
		user := rng.IntN(generatedUserCount)
		cpu := 0.25 + rng.Float64()*1.5
		fmt.Fprintf(w, "%s,%s,u%d,%.2f,%s\n", row.time, row.kind, user, cpu, row.run)
	}
	return w.Flush()
}

// generatedRow holds the parts of a generated row that corrupt can change.
type generatedRow struct {
	time, kind, run string
	truncated       bool // only the time is written
}

// corrupt makes the row anomalous in one of four ways, chosen by turn: a malformed run time, a time out
// of order, an unknown operation, or missing columns. atMicros is the row's time.
func (r *generatedRow) corrupt(turn int, atMicros float64) {
	switch turn % 4 {
	case 0:
		r.run = "n/a"
	case 1:
		r.time = strconv.FormatInt(int64(atMicros)-outOfOrderShiftMicros, 10)
	case 2:
		r.kind = "gpu"
	case 3:
		r.truncated = true
	}
}
