package dispatch

import (
	"slices"
	"time"
)

// noAge is the age of an event that has not happened.
const noAge = -1

// MigratedOut reports that an invocation now belongs to another instance. Nothing is cancelled, and
// this instance does not owe an answer any more.
type MigratedOut struct{ Invocation InvocationID }

// MigratedIn brings an invocation that belonged to another instance. Ages count back from now.
type MigratedIn struct {
	Arrival
	Waited   time.Duration `json:"Waited"` // since the client's first request arrived
	Age      time.Duration `json:"Age"`    // since the present request arrived
	Attempts []Attempt     `json:"Tries"`  // in the order in which they were sent
}

// Attempt is one attempt of a migrating invocation.
type Attempt struct {
	Worker          WorkerID      `json:"Worker"`
	Zone            int           `json:"Zone"`  // the worker's zone when the attempt was sent
	Cell            int           `json:"Cell"`  // the worker's cell when the attempt was sent
	Age             time.Duration `json:"Age"`   // since the attempt was sent
	StartedAge      time.Duration `json:"Began"` // since the attempt started; negative: not started
	LastProgressAge time.Duration `json:"Heard"` // since its last progress report; negative: none came
	Cost            float64       `json:"Cost"`  // use of a slow-start budget, in seconds
	InFlight        bool          `json:"Out"`
	MayHaveRun      bool          `json:"Ran"`
	Stalled         bool          `json:"Stuck"`
	BadRequest      bool          `json:"Unfit"`
}

// About returns the invocation.
func (e MigratedOut) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About returns the invocation.
func (e MigratedIn) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// MigrationRecord returns an invocation in the form in which another instance can take it over. open
// is false if the invocation is not open here any more.
func (d *Dispatcher) MigrationRecord(id InvocationID) (record MigratedIn, open bool) {
	index, open := d.invocationIndex[id]
	if !open || d.scheduler.invocations[index].answered {
		return MigratedIn{}, false
	}
	v := &d.scheduler.invocations[index]
	record = MigratedIn{
		Arrival: Arrival{
			Invocation: id,
			Operation:  v.operation,
			Tenant:     v.tenant,
			Budget:     v.deadline - d.now,
			Hint:       v.work,
			Slots:      v.slots,
		},
		Waited: d.now - v.firstRequestAt,
		Age:    d.now - v.arrivedAt,
	}
	for number := range v.attempts {
		record.Attempts = append(record.Attempts, d.attemptRecord(index, number))
	}
	return record, true
}

func (d *Dispatcher) attemptRecord(index, number int) Attempt {
	attempt := &d.scheduler.invocations[index].attempts[number]
	worker := &d.records[attempt.worker]
	record := Attempt{
		Worker:          worker.Worker,
		Zone:            attempt.zone,
		Cell:            attempt.cell,
		Age:             d.now - attempt.sentAt,
		StartedAge:      noAge,
		LastProgressAge: noAge,
		InFlight:        attempt.inFlight,
		MayHaveRun:      attempt.mayHaveRun,
		Stalled:         attempt.stalled,
		BadRequest:      attempt.badRequest,
	}
	if worker.worker == nil {
		return record
	}
	atWorker := worker.worker.inFlightAttempt(index, number)
	if atWorker == nil {
		return record
	}
	record.Cost = atWorker.cost
	if atWorker.startedAt > 0 {
		record.StartedAge = d.now - atWorker.startedAt
	}
	if atWorker.progressAt > 0 {
		record.LastProgressAge = d.now - atWorker.progressAt
	}
	return record
}

// Aged returns the record with all times advanced by the time that the record spent in transit:
// deduplication windows and client timeouts keep running meanwhile.
func (e MigratedIn) Aged(transit time.Duration) MigratedIn {
	e.Budget -= transit
	e.Waited += transit
	e.Age += transit
	e.Attempts = slices.Clone(e.Attempts)
	for i := range e.Attempts {
		e.Attempts[i].addAge(transit)
	}
	return e
}

func (a *Attempt) addAge(transit time.Duration) {
	for _, age := range []*time.Duration{&a.Age, &a.StartedAge, &a.LastProgressAge} {
		if *age >= 0 {
			*age += transit
		}
	}
}

// attemptMigrated notifies a worker that an attempt now belongs to another instance.
type attemptMigrated struct {
	invocation int
	number     int
}

func (m attemptMigrated) deliverToWorker(w *worker) {
	attempt := w.inFlightAttempt(m.invocation, m.number)
	if attempt != nil {
		attempt.endedAt = w.now
	}
}

// migrateOut releases an invocation to another instance.
func (s *scheduler) migrateOut(index int) {
	s.dequeue(index)
	v := &s.invocations[index]
	for number := range v.attempts {
		attempt := &v.attempts[number]
		if attempt.inFlight {
			attempt.inFlight = false
			s.dispatcher.records[attempt.worker].worker.send(attemptMigrated{invocation: index, number: number})
		}
	}
	v.answered = true
	v.finished = true
	s.releaseInvocation(index)
}

// migrateIn takes over an invocation from another instance.
func (s *scheduler) migrateIn(index int, migrated MigratedIn) {
	s.admit(index, migrated.Arrival)
	s.dequeue(index)
	v := &s.invocations[index]
	v.firstRequestAt = s.now - migrated.Waited
	v.arrivedAt = s.now - migrated.Age
	for number, attempt := range migrated.Attempts {
		worker, known := s.dispatcher.recordIndex[attempt.Worker]
		if known {
			s.adoptAttempt(index, number, worker, attempt)
		}
	}
	s.retry(index)
}

// adoptAttempt adds an attempt that another instance has sent.
func (s *scheduler) adoptAttempt(index, number, worker int, migrated Attempt) {
	v := &s.invocations[index]
	v.attempts = append(v.attempts, requestAttempt{
		worker:     worker,
		zone:       migrated.Zone,
		cell:       migrated.Cell,
		sentAt:     s.now - migrated.Age,
		inFlight:   migrated.InFlight,
		mayHaveRun: migrated.MayHaveRun,
		stalled:    migrated.Stalled,
		badRequest: migrated.BadRequest,
	})
	if migrated.BadRequest {
		v.badRequests++
	}
	if !migrated.InFlight {
		return
	}
	attempt := workerAttempt{
		invocation: index,
		number:     number,
		slots:      v.slots,
		work:       v.work,
		cost:       migrated.Cost,
		lost:       migrated.Stalled,
		accepted:   true,
		sentAt:     max(0, s.now-migrated.Age),
	}
	if migrated.StartedAge >= 0 {
		attempt.startedAt = max(1, s.now-migrated.StartedAge) // 0 would mean not started
	}
	if migrated.LastProgressAge >= 0 {
		attempt.progressAt = max(1, s.now-migrated.LastProgressAge)
	}
	s.dispatcher.workerAt(worker).send(attemptSent{attempt})
}
