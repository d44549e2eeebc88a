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
	// readerStream is the stream of random numbers that a Reader draws from, besides the scenario's seed.
	readerStream = 0x7472
	// maxCost is the highest cost of a row, in seconds.
	maxCost = 1e6
	// noOperation stands for the operation of values that the mapping does not have.
	noOperation = -1
)

// Reader reads the invocations of a trace. It is a model.Source.
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
	defaultOperation int // for all other values
	tenantByName     map[string]int
	stopped          bool
}

// Open begins to read a trace. It is an error if the trace is empty or has not all columns of the mapping. clients make the
// requests of its rows.
func Open(in io.Reader, m Mapping, s scenario.Scenario, clients *model.Clients) (*Reader, error) {
	r := &Reader{
		mapping:          m,
		scenario:         s,
		clients:          clients,
		rows:             rowReader{in: bufio.NewReaderSize(in, bufferSize), separator: m.Separator, maxSize: m.MaxRowSize},
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

func (r *Reader) indexOperations() {
	indexByName := map[string]int{}
	for i, o := range r.scenario.Operations {
		indexByName[o.Name] = i
	}
	for value, operation := range r.mapping.Operations {
		if value == otherOperations {
			r.defaultOperation = indexByName[operation]
		} else {
			r.operationByValue[value] = indexByName[operation]
		}
	}
	if len(r.mapping.Operations) == 0 {
		r.defaultOperation = 0
	}
}

// Next returns the request of the next row that can be used; false: the trace is over, or was stopped by a policy or an
// error, which Ended names.
func (r *Reader) Next() (model.Request, bool) {
	for !r.stopped {
		fields, err := r.rows.next()
		switch {
		case err == io.EOF:
			return model.Request{}, false
		case errors.Is(err, errTooLong):
			r.Rows++
			r.anomaly(TooLong, r.mapping.Policies.TooLong)
			continue
		case errors.Is(err, errMalformed):
			r.Rows++
			r.anomaly(Malformed, r.mapping.Policies.Malformed)
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

// anomaly counts the present row as anomalous, and stops the trace if that is the policy.
func (r *Reader) anomaly(a Anomaly, policy string) {
	r.add(a, r.rows.line)
	if policy == policyStop {
		r.stop(a.String())
	}
}

// stop ends the trace at the present line.
func (r *Reader) stop(cause string) {
	r.stopped = true
	r.Ended = fmt.Sprintf("line %d: %s", r.rows.line, cause)
}

// request makes the request of a row; false: the row is not used.
func (r *Reader) request(fields []string) (model.Request, bool) {
	if len(fields) <= r.columns.last {
		r.anomaly(Malformed, r.mapping.Policies.Malformed)
		return model.Request{}, false
	}
	operation := r.operation(fields)
	if operation == noOperation {
		r.anomaly(UnknownOperation, r.mapping.Policies.UnknownOperation)
		return model.Request{}, false
	}
	recorded, timeOK := r.columns.number(fields, columnTime)
	cost, costOK := r.cost(fields, operation, recorded)
	slots, slotsOK := r.slots(fields, operation)
	if !timeOK || !costOK || !slotsOK {
		r.anomaly(Malformed, r.mapping.Policies.Malformed)
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

// operation is the operation of a row, or noOperation.
func (r *Reader) operation(fields []string) int {
	if r.columns.has(columnOperation) {
		if operation, known := r.operationByValue[r.columns.text(fields, columnOperation)]; known {
			return operation
		}
	}
	return r.defaultOperation
}

// cost is the cost of a row in seconds: by its work, by its end, or by its operation.
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
	if cost > maxCost {
		return 0, false
	}
	return cost, ok
}

// slots are the slots of a row: by itself, or by its operation.
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

// tenant is the tenant of a name. Names that the scenario does not have are spread over the tenants, the same name always to
// the same tenant.
func (r *Reader) tenant(name string) int {
	if tenant, known := r.tenantByName[name]; known {
		return tenant
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() % uint32(len(r.scenario.Tenants)))
}

// sendTime is when the request of a row is to be sent; false: the row is not used.
func (r *Reader) sendTime(recorded float64) (time.Duration, bool) {
	anomaly, anomalous := r.clock.check(recorded)
	if anomalous {
		policy := r.mapping.Policies.OutOfOrder
		if anomaly == ClockJump {
			policy = r.mapping.Policies.ClockJump
		}
		r.anomaly(anomaly, policy)
		if policy != policyClamp {
			return 0, false
		}
	}
	return r.clock.advance(recorded), true
}
