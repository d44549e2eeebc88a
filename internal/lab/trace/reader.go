package trace

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

const (
	// readerStream is the second seed word of a Reader's random generator. The first is the scenario's
	// seed, with which other parts of a run draw other streams.
	readerStream = 0x7472
	// maxCostSeconds is the highest accepted cost of a row; a row above it is malformed.
	maxCostSeconds = 1e6
	// noOperation is the operation of a value that the mapping does not have.
	noOperation = -1
)

// Reader reads the requests of a trace, one invocation per usable row. It implements model.Source.
type Reader struct {
	Counts

	mapping          Mapping
	scenario         scenario.Scenario
	clients          *model.Clients
	rows             rowReader
	columns          columnIndexes
	clock            clock
	rand             *rand.Rand
	operationByValue map[string]int
	defaultOperation int // for values that are not in operationByValue
	tenantByName     map[string]int
	stopped          bool
}

// Open returns a Reader of the trace in, and reads its header. It returns an error if the trace is empty
// or lacks a column of the mapping. clients creates the requests for the rows.
func Open(in io.Reader, m Mapping, s scenario.Scenario, clients *model.Clients) (*Reader, error) {
	r := &Reader{
		mapping:          m,
		scenario:         s,
		clients:          clients,
		rows:             rowReader{in: bufio.NewReaderSize(in, bufferBytes), separator: m.Separator, maxLineBytes: m.MaxLineBytes},
		clock:            newClock(m),
		rand:             rand.New(rand.NewPCG(uint64(s.Seed), readerStream)),
		operationByValue: map[string]int{},
		defaultOperation: noOperation,
		tenantByName:     map[string]int{},
	}
	r.indexOperations()
	for i, t := range s.Tenants {
		r.tenantByName[t.Name] = i
	}
	var err error
	r.columns, err = findColumns(m, &r.rows)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// indexOperations fills in which operation belongs to which value of the operation column. A mapping
// without operations is only valid for a scenario with a single one, which applies to all rows.
func (r *Reader) indexOperations() {
	indexByName := map[string]int{}
	for i, o := range r.scenario.Operations {
		indexByName[o.Name] = i
	}
	for value, operation := range r.mapping.Operations {
		if value == wildcardValue {
			r.defaultOperation = indexByName[operation]
		} else {
			r.operationByValue[value] = indexByName[operation]
		}
	}
	if len(r.mapping.Operations) == 0 {
		r.defaultOperation = 0
	}
}

// Next returns the request of the next usable row. It returns false at the end of the trace, or if a
// policy or an error stopped it, in which case StopReason holds the cause.
func (r *Reader) Next() (model.Request, bool) {
	for !r.stopped {
		fields, err := r.rows.next()
		switch {
		case err == io.EOF:
			return model.Request{}, false
		case errors.Is(err, errTooLong):
			r.Rows++
			r.recordAnomaly(TooLong, r.mapping.Policies.TooLong)
			continue
		case errors.Is(err, errMalformed):
			r.Rows++
			r.recordAnomaly(Malformed, r.mapping.Policies.Malformed)
			continue
		case err != nil:
			r.stop(err.Error())
			continue
		}
		r.Rows++
		if request, used := r.request(fields); used {
			r.Used++
			return request, true
		}
	}
	return model.Request{}, false
}

// recordAnomaly counts the current row as anomalous, and ends the trace if the policy is to stop.
func (r *Reader) recordAnomaly(a Anomaly, policy string) {
	r.addAnomaly(a, r.rows.lineNumber)
	if policy == policyStop {
		r.stop(a.String())
	}
}

// stop ends the trace at the current line.
func (r *Reader) stop(cause string) {
	r.stopped = true
	r.StopReason = fmt.Sprintf("line %d: %s", r.rows.lineNumber, cause)
}

// request returns the request of a row, and false if the row is not used.
func (r *Reader) request(fields []string) (model.Request, bool) {
	if len(fields) <= r.columns.highest {
		r.recordAnomaly(Malformed, r.mapping.Policies.Malformed)
		return model.Request{}, false
	}
	operation := r.operation(fields)
	if operation == noOperation {
		r.recordAnomaly(UnknownOperation, r.mapping.Policies.UnknownOperation)
		return model.Request{}, false
	}
	recorded, timeOK := r.columns.number(fields, columnTime)
	cost, costOK := r.cost(fields, operation, recorded)
	slots, slotsOK := r.slots(fields, operation)
	if !timeOK || !costOK || !slotsOK {
		r.recordAnomaly(Malformed, r.mapping.Policies.Malformed)
		return model.Request{}, false
	}
	at, used := r.sendTime(recorded)
	if !used {
		return model.Request{}, false
	}
	request := r.clients.NewRequest(operation, at, cost, r.rand)
	request.Slots = slots
	if r.columns.has(columnTenant) && len(r.tenantByName) > 0 {
		request.Tenant = r.tenant(r.columns.text(fields, columnTenant))
	}
	request.Zone = r.rand.IntN(len(r.scenario.Zones))
	return request, true
}

// operation returns the operation of a row, or noOperation if the mapping has none for its value.
func (r *Reader) operation(fields []string) int {
	if r.columns.has(columnOperation) {
		if operation, known := r.operationByValue[r.columns.text(fields, columnOperation)]; known {
			return operation
		}
	}
	return r.defaultOperation
}

// cost returns the cost of a row in seconds. It comes from the work column, else from the end column,
// else from the work of the operation in the scenario. ok is false if it is not a valid cost.
func (r *Reader) cost(fields []string, operation int, recorded float64) (cost float64, ok bool) {
	switch {
	case r.columns.has(columnWork):
		work, isNumber := r.columns.number(fields, columnWork)
		cost = work * r.mapping.WorkScale * unitByName[r.mapping.WorkUnit].Seconds()
		ok = isNumber && work >= 0
	case r.columns.has(columnEnd):
		end, isNumber := r.columns.number(fields, columnEnd)
		cost = (end - recorded) * r.mapping.WorkScale * unitByName[r.mapping.TimeUnit].Seconds()
		ok = isNumber && end >= recorded
	default:
		cost = r.scenario.Operations[operation].Work.D().Seconds()
		ok = true
	}
	if cost > maxCostSeconds {
		return 0, false
	}
	return cost, ok
}

// slots returns the number of slots that a row takes, from the slots column or else from its operation
// in the scenario. ok is false if the column does not hold a valid number.
func (r *Reader) slots(fields []string, operation int) (slots int, ok bool) {
	if !r.columns.has(columnSlots) {
		return max(1, r.scenario.Operations[operation].Slots), true
	}
	n, isNumber := r.columns.number(fields, columnSlots)
	if !isNumber || n < 0 {
		return 0, false
	}
	scaled := min(math.Ceil(n*r.mapping.Slots.Scale), float64(r.mapping.Slots.Max))
	return max(1, int(scaled)), true
}

// tenant returns the index of the tenant of a name. Names that the scenario does not have are hashed, so
// that they spread over its tenants and equal names belong to the same tenant.
func (r *Reader) tenant(name string) int {
	if tenant, known := r.tenantByName[name]; known {
		return tenant
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() % uint32(len(r.scenario.Tenants)))
}

// sendTime returns the time of the run at which the request of a row is sent, and false if the row is
// not used.
func (r *Reader) sendTime(recorded float64) (time.Duration, bool) {
	anomaly, anomalous := r.clock.check(recorded)
	if anomalous {
		policy := r.mapping.Policies.OutOfOrder
		if anomaly == ClockJump {
			policy = r.mapping.Policies.ClockJump
		}
		r.recordAnomaly(anomaly, policy)
		if policy != policyClamp {
			return 0, false
		}
	}
	return r.clock.advance(recorded), true
}
