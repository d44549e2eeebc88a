package trace

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

// Kind is a way in which a row is not as it should be.
type Anomaly uint8

const (
	Malformed Anomaly = iota
	OutOfOrder
	ClockJump
	TooLong
	UnknownOperation
	anomalyCount
)

var anomalyNames = [...]string{"bad", "out of order", "clock jump", "too long", "unknown operation"}

func (k Anomaly) String() string { return anomalyNames[k] }

// linesKept is how many lines of each kind are named.
const maxLines = 10

// Counts of what was met.
type Counts struct {
	Rows, Used int
	Anomalies  [anomalyCount]int
	Lines      [anomalyCount][]int // the first ones of each kind
	Ended      string              // why it was not read to its end
}

// MarshalJSON names the kinds.
func (c Counts) MarshalJSON() ([]byte, error) {
	odd := map[string]any{}
	for k, n := range c.Anomalies {
		if n > 0 {
			odd[anomalyNames[k]] = map[string]any{"rows": n, "first_lines": c.Lines[k]}
		}
	}
	return json.Marshal(map[string]any{"rows": c.Rows, "used": c.Used, "odd": odd, "ended": c.Ended})
}

// Reader is a source of invocations.
type Reader struct {
	Counts

	mapping          Mapping
	scenario         scenario.Scenario
	clients          *model.Clients
	in               *bufio.Reader
	line             int
	columnIndex      map[string]int // columns
	lastColumn       int
	rand             *rand.Rand
	operationByValue map[string]int
	defaultOperation int // operation for all others; -1: none
	tenantByName     map[string]int
	begun            bool
	lastRecorded     float64 // time of the row before, as it was recorded
	firstRecorded    float64
	shift            float64 // what jumps and the like have taken out
	lastSendAt       time.Duration
	stopped          bool
}

// Open begins a trace. An empty one, or one whose columns are missing, is an error: nothing is guessed.
func Open(in io.Reader, m Mapping, s scenario.Scenario, clients *model.Clients) (*Reader, error) {
	r := &Reader{mapping: m, scenario: s, clients: clients, in: bufio.NewReaderSize(in, 1<<16), columnIndex: map[string]int{}, defaultOperation: -1, operationByValue: map[string]int{},
		tenantByName: map[string]int{}, rand: rand.New(rand.NewPCG(uint64(s.Seed), 0x7472))}
	index := map[string]int{}
	for i, o := range s.Operations {
		index[o.Name] = i
	}
	for value, op := range m.Operations {
		if value == "*" {
			r.defaultOperation = index[op]
		} else {
			r.operationByValue[value] = index[op]
		}
	}
	if len(m.Operations) == 0 {
		r.defaultOperation = 0
	}
	for i, t := range s.Tenants {
		r.tenantByName[t.Name] = i
	}
	wanted := []struct{ key, name string }{{"time", m.Columns.Time}, {"work", m.Columns.Work}, {"end", m.Columns.End},
		{"operation", m.Columns.Operation}, {"tenant", m.Columns.Tenant}, {"slots", m.Columns.Slots}}
	var header []string
	if m.Header {
		fields, _, err := r.readRow()
		if err == io.EOF {
			return nil, errors.New("the trace is empty")
		}
		if err != nil {
			return nil, fmt.Errorf("the header: %w", err)
		}
		header = fields
	} else if _, err := r.in.Peek(1); err != nil {
		return nil, errors.New("the trace is empty")
	}
	for _, w := range wanted {
		if w.name == "" {
			continue
		}
		at := -1
		if n, err := strconv.Atoi(w.name); err == nil && !m.Header {
			at = n
		}
		for i, name := range header {
			if strings.TrimSpace(name) == w.name {
				at = i
			}
		}
		if at < 0 {
			return nil, fmt.Errorf("columns.%s: there is no column %q, but %q", w.key, w.name, header)
		}
		r.columnIndex[w.key] = at
		r.lastColumn = max(r.lastColumn, at)
	}
	return r, nil
}

var errTooLong = errors.New("the line is too long")

// row reads one line. A long one is passed over without being held.
func (r *Reader) readRow() ([]string, int, error) {
	for {
		var line []byte
		long := false
		for {
			part, err := r.in.ReadSlice('\n')
			if !long {
				line = append(line, part...)
				if len(line) > r.mapping.MaxRowSize {
					long, line = true, nil
				}
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if err == io.EOF && len(part) == 0 && len(line) == 0 && !long {
				return nil, r.line, io.EOF
			}
			if err != nil && err != io.EOF {
				return nil, r.line, err
			}
			break
		}
		r.line++
		if long {
			return nil, r.line, errTooLong
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 {
			continue
		}
		fields := strings.Split(string(line), r.mapping.Separator)
		if bytes.IndexByte(line, '"') >= 0 {
			c := csv.NewReader(bytes.NewReader(line))
			c.Comma, c.FieldsPerRecord = rune(r.mapping.Separator[0]), -1
			var err error
			if fields, err = c.Read(); err != nil {
				return nil, r.line, fmt.Errorf("%w: %v", errMalformed, err)
			}
		}
		return fields, r.line, nil
	}
}

var errMalformed = errors.New("can't be read")

// odd counts a row that is not as it should be, and tells whether the trace ends with it.
func (r *Reader) countAnomaly(k Anomaly, line int, policy string) (stop bool) {
	r.Anomalies[k]++
	if len(r.Lines[k]) < maxLines {
		r.Lines[k] = append(r.Lines[k], line)
	}
	if policy == "stop" {
		r.stopped = true
		r.Ended = fmt.Sprintf("line %d: %s", line, k)
	}
	return r.stopped
}

// Next gives the next invocation.
func (r *Reader) Next() (model.Request, bool) {
	for !r.stopped {
		fields, line, err := r.readRow()
		switch {
		case err == io.EOF:
			return model.Request{}, false
		case errors.Is(err, errTooLong):
			r.Rows++
			r.countAnomaly(TooLong, line, r.mapping.Policies.TooLong)
			continue
		case errors.Is(err, errMalformed):
			r.Rows++
			r.countAnomaly(Malformed, line, r.mapping.Policies.Malformed)
			continue
		case err != nil:
			r.stopped, r.Ended = true, fmt.Sprintf("line %d: %v", line, err)
			continue
		}
		r.Rows++
		if j, ok := r.request(fields, line); ok {
			r.Used++
			return j, true
		}
	}
	return model.Request{}, false
}

// number reads a column; what is no finite number is none.
func (r *Reader) number(fields []string, key string) (float64, bool) {
	v, err := strconv.ParseFloat(strings.TrimSpace(fields[r.columnIndex[key]]), 64)
	return v, err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
}

func (r *Reader) hasColumn(key string) bool { _, has := r.columnIndex[key]; return has }

func (r *Reader) request(fields []string, line int) (j model.Request, ok bool) {
	if len(fields) <= r.lastColumn {
		r.countAnomaly(Malformed, line, r.mapping.Policies.Malformed)
		return j, false
	}
	op := r.defaultOperation
	if r.hasColumn("operation") {
		if at, known := r.operationByValue[strings.TrimSpace(fields[r.columnIndex["operation"]])]; known {
			op = at
		}
	}
	if op < 0 {
		r.countAnomaly(UnknownOperation, line, r.mapping.Policies.UnknownOperation)
		return j, false
	}
	recorded, sound := r.number(fields, "time")
	cost := r.scenario.Operations[op].Work.D().Seconds()
	if r.hasColumn("work") {
		work, is := r.number(fields, "work")
		sound = sound && is && work >= 0
		cost = work * r.mapping.WorkScale * unitByName[r.mapping.WorkUnit].Seconds()
	} else if r.hasColumn("end") {
		end, is := r.number(fields, "end")
		sound = sound && is && end >= recorded
		cost = (end - recorded) * r.mapping.WorkScale * unitByName[r.mapping.TimeUnit].Seconds()
	}
	slots := float64(r.scenario.Operations[op].Slots)
	if r.hasColumn("slots") {
		n, is := r.number(fields, "slots")
		sound = sound && is && n >= 0
		slots = min(math.Ceil(n*r.mapping.Slots.Scale), float64(r.mapping.Slots.Max))
	}
	if !sound || cost > 1e6 {
		r.countAnomaly(Malformed, line, r.mapping.Policies.Malformed)
		return j, false
	}
	at, ok := r.sendTime(recorded, line)
	if !ok {
		return j, false
	}
	j = r.clients.NewRequest(op, at, cost, r.rand)
	j.Slots = max(1, int(slots))
	if r.hasColumn("tenant") && len(r.tenantByName) > 0 {
		j.Tenant = r.tenantOf(strings.TrimSpace(fields[r.columnIndex["tenant"]]))
	}
	j.Zone = r.rand.IntN(len(r.scenario.Zones))
	return j, true
}

// tenant finds one by name; names that the scenario does not have are dealt out, the same one always to the same tenant.
func (r *Reader) tenantOf(name string) int {
	if at, known := r.tenantByName[name]; known {
		return at
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() % uint32(len(r.scenario.Tenants)))
}

// time is when a row is to be sent: as long after the one before as it was recorded, divided by the speed.
func (r *Reader) sendTime(recorded float64, line int) (time.Duration, bool) {
	unit := float64(unitByName[r.mapping.TimeUnit])
	if !r.begun {
		r.begun, r.firstRecorded, r.lastRecorded = true, recorded, recorded
	}
	step := (recorded - r.lastRecorded) * unit
	if step < -float64(r.mapping.MaxGap) { // the clock was set back: it goes on from there
		if r.countAnomaly(ClockJump, line, r.mapping.Policies.ClockJump) || r.mapping.Policies.ClockJump == "skip" {
			return 0, false
		}
		r.shift += step
		r.lastRecorded = recorded
		return r.lastSendAt, true
	}
	if step < 0 {
		if r.countAnomaly(OutOfOrder, line, r.mapping.Policies.OutOfOrder) || r.mapping.Policies.OutOfOrder == "skip" {
			return 0, false
		}
		return r.lastSendAt, true // clamped: sent with the one before, and the clock stays where it was
	}
	if step > float64(r.mapping.MaxGap) {
		if r.countAnomaly(ClockJump, line, r.mapping.Policies.ClockJump) || r.mapping.Policies.ClockJump == "skip" {
			return 0, false
		}
		r.shift += step - float64(r.mapping.MaxGap)
	}
	r.lastRecorded = recorded
	at := (recorded-r.firstRecorded)*unit - r.shift
	r.lastSendAt = max(r.lastSendAt, time.Duration(at/r.mapping.Speed))
	return r.lastSendAt, true
}

// Generate writes a trace of so many rows, with a header, for trying things out: bursts, heavy tails, and one row in
// so many that is not as it should be (0: none).
func Generate(out io.Writer, rows int, seed int64, perSecond float64, oddEvery int) error {
	w := bufio.NewWriterSize(out, 1<<16)
	rng := rand.New(rand.NewPCG(uint64(seed), 0x67656e))
	fmt.Fprintln(w, "time_us,collection_type,user,cpu_request,run_us")
	at := 0.0
	kinds := []string{"small", "small", "small", "batch", "batch", "prod"}
	for n := range rows {
		rate := perSecond * (0.6 + 0.8*float64(n/5000%2))
		at += rng.ExpFloat64() / rate * 1e6
		run := 50e3 * math.Exp(rng.NormFloat64())
		kind := kinds[rng.IntN(len(kinds))]
		if kind == "batch" {
			run *= 4
		}
		when, what := strconv.FormatInt(int64(at), 10), strconv.FormatInt(int64(run), 10)
		if oddEvery > 0 && n%oddEvery == oddEvery-1 {
			switch n / oddEvery % 4 {
			case 0:
				what = "n/a"
			case 1:
				when = strconv.FormatInt(int64(at)-5e6, 10)
			case 2:
				kind = "gpu"
			case 3:
				fmt.Fprintln(w, when)
				continue
			}
		}
		fmt.Fprintf(w, "%s,%s,u%d,%.2f,%s\n", when, kind, rng.IntN(50), 0.25+rng.Float64()*1.5, what)
	}
	return w.Flush()
}
