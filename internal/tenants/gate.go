package tenants

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	sampleCount = 32 // measurements are the last few samples
	// retryReserve is what a tenant's retries may have beside its ratio, so that one with little traffic can retry at all;
	// retryMost is what it can save up.
	retryReserve, retryMost = 10, 100
	// shareEvery is how old the shares may be that admission goes by.
	shareEvery = 100 * time.Millisecond
	// idleAfter without anything in hand, a tenant counts no more when room is shared out.
	idleAfter = time.Second
	// quietPart of the room may be had by anyone: nothing is scarce.
	quietPart           = 0.5
	backLeast, backMost = 50 * time.Millisecond, 10 * time.Second
	backLow, backSpread = 0.75, 0.75 // of what is reckoned: many clients turned away at once must not come back at once
	apart               = 0.1        // how far from its share a tenant must be to be told of anew
	leastQuota          = 1e-9       // a second: all is beyond it
	hintsLeast          = 4          // that must have been borne out before they count
)

// Kind is what kept an invocation out.
type RejectionKind string

const (
	None        RejectionKind = ""
	Unknown     RejectionKind = "unauthenticated"
	Stopped     RejectionKind = "suspended"
	Size        RejectionKind = "request_size"
	Rate        RejectionKind = "rate"
	Concurrency RejectionKind = "concurrency"
	HeldWork    RejectionKind = "held_work"
	Retries     RejectionKind = "retry_budget"
	Share       RejectionKind = "share"
)

// Kinds are those that usage counts.
var RejectionKinds = []RejectionKind{Stopped, Size, Rate, Concurrency, HeldWork, Retries, Share}

// Verdict is the gate's answer. After is when to come back; 0: asking again is of no use.
type Decision struct {
	Kind       RejectionKind
	RetryAfter time.Duration
}

// Ask is what an invocation asks for.
type Request struct {
	Bytes int
	Work  float64 // its hinted cost in seconds; 0: not told
	Retry bool
}

// Ending is how an invocation ended, for usage.
type Disposition uint8

const (
	Succeeded Disposition = iota
	Declined
	Aborted
	Abandoned
	Migrated
	endings = int(Migrated) + 1
)

// Usage counts for one tenant at one scheduler.
type Usage struct {
	Admitted, Retries int
	Completed         [endings]int
	Throttled         map[RejectionKind]int
	InFlight          int
	HeldWorkS         float64
	Bytes             int64
	ShareInFlight     float64 // what it may have in hand while room is scarce
	Rate, Share       float64 // workers' time that it has a second, and what its share of all such time is; at the last look
	OverShare         bool    // it has more, and goes behind those that have not
}

// Seat is one tenant at the gate. It stays until its last invocation has ended, whatever becomes of the tenant.
type Account struct {
	Index        int // among the decision module's tenants
	Name, Handle string

	keys        []string // of its credentials
	state       State
	weight      float64
	limits      Limits
	gone        bool
	inHand      int
	held        float64
	tokens      float64
	tokensAt    time.Duration
	retries     float64 // that it may still have
	allot       float64 // of the room, with what others left at the last reckoning
	turned      int     // away since the shares were last reckoned, for want of room
	peak        int     // in hand since then
	seen        time.Duration
	here        int                  // among the active, from 1; 0: it is none
	hints       map[string][]float64 // time at workers over what was said of it, by operation
	spans       []time.Duration      // how long the last ones were in hand
	served      []time.Duration      // when its last forwards ended
	works       []float64            // how long each was at its worker
	rate, share float64              // their time a second, and what of all such time is its share
	beyond      bool                 // it has more, and the decisions have been told
	usage       Usage
}

type key struct {
	seat *Account
	Credential
}

// Gate is where tenants come in at one scheduler. All that an event costs is bounded by the tenants that are at work, and most
// events look at one alone.
type Controller struct {
	Looks         int  // at tenants, so that tests can count
	SharesChanged bool // somebody has begun to be at work since the last Quotas: shares have changed for all

	room       float64 // invocations in hand, at this scheduler
	schedulers float64
	chance     *rand.Rand
	byName     map[string]*Account
	byHandle   map[string]*Account
	keys       map[string]key // by credential
	seats      []*Account     // nil: free
	active     []*Account
	total      int
	weights    float64 // of the active
	reckoned   time.Duration
	fresh      []Quota
}

// Quota is what a tenant may send a second, counted in full. New: nothing is known of it yet.
type Quota struct {
	Index          int
	QuotaPerSecond float64
	Reassigned     bool
}

// NewGate has nobody. room is how many invocations may be in hand here; a limit holds at all schedulers together, of which
// each keeps its part.
func NewController(room, schedulers int, chance *rand.Rand) *Controller {
	return &Controller{room: float64(max(1, room)), schedulers: float64(max(1, schedulers)), chance: chance, byName: map[string]*Account{},
		byHandle: map[string]*Account{}, keys: map[string]key{}}
}

// Put seats a tenant as it is from now on. What is in hand stays, also where it is more than it may have now.
func (g *Controller) Put(now time.Duration, t Tenant) *Account {
	s := g.byName[t.Name]
	if s != nil && s.Handle != t.Handle { // made anew under its name
		g.Remove(now, t.Name)
		s = nil
	}
	if s == nil {
		s = &Account{Index: slices.Index(g.seats, nil), Name: t.Name, Handle: t.Handle, retries: retryReserve,
			seen: now - idleAfter, usage: Usage{Throttled: map[RejectionKind]int{}}, tokensAt: now}
		if s.Index < 0 {
			s.Index = len(g.seats)
			g.seats = append(g.seats, nil)
		}
		g.seats[s.Index], g.byName[t.Name], g.byHandle[t.Handle] = s, s, s
		g.fresh = append(g.fresh, Quota{s.Index, math.Inf(1), true})
		s.limits = t.Spec.Limits
		s.tokens = s.burst(g)
	}
	if s.here > 0 {
		g.weights += t.Spec.Weight - s.weight
	}
	s.fill(g, now)
	s.weight, s.limits, s.state = t.Spec.Weight, t.Spec.Limits, t.State
	s.tokens = min(s.tokens, s.burst(g))
	hints := map[string][]float64{}
	for _, o := range t.Spec.Operations {
		hints[o.Name] = s.hints[o.Name]
	}
	s.hints = hints
	g.lock(s)
	for _, c := range t.Credentials {
		g.keys[c.ID] = key{s, c}
		s.keys = append(s.keys, c.ID)
	}
	return s
}

// lock ends a tenant's credentials.
func (g *Controller) lock(s *Account) {
	for _, id := range s.keys {
		delete(g.keys, id)
	}
	s.keys = nil
}

// Remove lets nothing more of a tenant in. Its seat is free once all that was taken has ended.
func (g *Controller) Remove(now time.Duration, name string) {
	s := g.byName[name]
	if s == nil {
		return
	}
	delete(g.byName, name)
	delete(g.byHandle, s.Handle)
	g.lock(s)
	s.gone = true
	g.leave(s)
}

func (g *Controller) leave(s *Account) {
	if !s.gone || s.inHand > 0 {
		return
	}
	g.rest(s)
	if g.seats[s.Index] == s {
		g.seats[s.Index] = nil
	}
}

// rest takes a seat out of the active ones.
func (g *Controller) rest(s *Account) {
	if s.here == 0 {
		return
	}
	last := g.active[len(g.active)-1]
	g.active[s.here-1], last.here = last, s.here
	g.active, s.here = g.active[:len(g.active)-1], 0
	if g.weights -= s.weight; len(g.active) == 0 {
		g.weights = 0
	}
}

// Identify finds whose a credential is. Who shows none that is known costs as much time as who does.
func (g *Controller) Identify(id, secret string, now time.Time) *Account {
	k, known := g.keys[id]
	if opens := k.Verify(secret, now); !known || !opens {
		return nil
	}
	return k.seat
}

// Admit decides whether one may come in. Whoever is let in has to be ended.
func (g *Controller) Admit(now time.Duration, s *Account, a Request) Decision {
	g.Looks++
	v := g.judge(now, s, a)
	if v.Kind != None {
		s.usage.Throttled[v.Kind]++
		if v.RetryAfter > 0 {
			v.RetryAfter = min(max(time.Duration(float64(v.RetryAfter)*(backLow+backSpread*g.chance.Float64())), backLeast), backMost)
		}
		return v
	}
	s.tokens--
	if a.Retry {
		s.retries--
		s.usage.Retries++
	} else if s.limits.RetryRatio != nil {
		s.retries = min(s.retries+*s.limits.RetryRatio, retryMost)
	}
	g.enter(s, a)
	return v
}

// Inherit seats an invocation that another process had let in: it is not asked again whether it may.
func (g *Controller) AdmitMigrated(now time.Duration, s *Account, a Request) {
	s.wake(g, now)
	g.enter(s, a)
}

// Back: what was handed to another process goes on here.
func (g *Controller) MigrationReturned(now time.Duration, s *Account, a Request) {
	g.AdmitMigrated(now, s, a)
	s.usage.Admitted--
	s.usage.Bytes -= int64(a.Bytes)
	s.usage.Completed[Migrated]--
}

func (g *Controller) enter(s *Account, a Request) {
	g.total++
	s.inHand++
	s.held += a.Work
	s.peak = max(s.peak, s.inHand)
	s.usage.Admitted++
	s.usage.Bytes += int64(a.Bytes)
}

func (g *Controller) judge(now time.Duration, s *Account, a Request) Decision {
	if now >= g.reckoned+shareEvery {
		g.reckon(now)
	}
	l, wait := &s.limits, s.wait()
	if s.gone || s.state != Active {
		return Decision{Kind: Stopped}
	}
	if l.RequestBytes != nil && a.Bytes > *l.RequestBytes {
		return Decision{Kind: Size}
	}
	if l.RetryRatio != nil && a.Retry && s.retries < 1 {
		// First tries earn it; without any there is nothing to wait for but the storm's end.
		return Decision{Retries, backMost / 2}
	}
	if s.fill(g, now); l.RatePerS != nil && s.tokens < 1 {
		return Decision{Rate, time.Duration((1 - s.tokens) * g.schedulers / *l.RatePerS * float64(time.Second))}
	}
	if l.Concurrency != nil && float64(s.inHand) >= max(1, math.Ceil(float64(*l.Concurrency)/g.schedulers)) {
		return Decision{Concurrency, wait}
	}
	if l.HeldWorkS != nil && s.inHand > 0 && s.held+a.Work > *l.HeldWorkS/g.schedulers {
		return Decision{HeldWork, wait}
	}
	// Only now is it at work: what its own limits turn away must not make others' shares smaller.
	s.wake(g, now)
	// A share by weight is had at once, whoever has the room: that is given back as theirs ends, and no more is taken.
	in, total := float64(s.inHand), float64(g.total)
	if in < g.fair(s) || total < quietPart*g.room || total < g.room && in < s.allot {
		return Decision{}
	}
	s.turned++
	return Decision{Share, wait}
}

// Ended lets an invocation go that was let in, by its own time in hand.
func (g *Controller) Completed(now time.Duration, s *Account, a Request, took time.Duration, how Disposition) {
	g.Looks++
	g.total--
	s.inHand--
	s.seen = now
	if s.held -= a.Work; s.inHand == 0 {
		s.held = 0 // sums of fractions leave dust
	}
	s.usage.Completed[how]++
	s.spans = keep(s.spans, took)
	g.leave(s)
}

// Worked counts a forward that has ended, by how long it was at its worker: what a client says of its work may be anything, and
// who said little would have the most.
func (g *Controller) AttemptEnded(now time.Duration, s *Account, operation string, hint float64, took time.Duration) {
	s.served, s.works = keep(s.served, now), keep(s.works, took.Seconds())
	if _, known := s.hints[operation]; known && hint > 0 {
		s.hints[operation] = keep(s.hints[operation], took.Seconds()/hint)
	}
}

// Believe turns what a client says of its work into what the last ones that said so have taken. The decisions learn how fast
// workers are from work and hints of all tenants: one that says too little would make all others' work look hopeless.
func (s *Account) EstimateCost(operation string, hint float64) float64 {
	ratios := s.hints[operation]
	if hint <= 0 || len(ratios) < hintsLeast {
		return 0 // as good as none: the operation's mean stands in
	}
	sorted := slices.Clone(ratios)
	slices.Sort(sorted)
	return hint * sorted[len(sorted)/2]
}

func (s *Account) wake(g *Controller, now time.Duration) {
	if s.seen = now; s.here == 0 {
		g.active, g.SharesChanged = append(g.active, s), true
		s.here = len(g.active)
		g.weights += s.weight
		s.allot = g.fair(s)
	}
}

// fair is a tenant's part of the room by weight alone, among those that are at work now.
func (g *Controller) fair(s *Account) float64 { return g.room * s.weight / max(g.weights, s.weight) }

// burst is what a tenant's bucket holds here.
func (s *Account) burst(g *Controller) float64 {
	switch l := s.limits; {
	case l.RatePerS == nil:
		return 1
	case l.Burst == nil:
		return max(1, *l.RatePerS/g.schedulers)
	default:
		return max(1, *l.Burst/g.schedulers)
	}
}

func (s *Account) fill(g *Controller, now time.Duration) {
	if s.limits.RatePerS != nil {
		s.tokens = min(s.burst(g), s.tokens+(now-s.tokensAt).Seconds()**s.limits.RatePerS/g.schedulers)
	} else {
		s.tokens = 1
	}
	s.tokensAt = now
}

// wait is how long until one of its own may have ended.
func (s *Account) wait() time.Duration {
	if len(s.spans) == 0 {
		return backLeast * 4
	}
	sorted := slices.Clone(s.spans)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// reckon shares the room out among those at work.
func (g *Controller) reckon(now time.Duration) {
	g.reckoned = now
	for _, s := range slices.Clone(g.active) {
		if g.Looks++; s.inHand == 0 && now >= s.seen+idleAfter {
			g.rest(s)
		}
	}
	wants := make([]Claim, len(g.active))
	for i, s := range g.active {
		wants[i] = Claim{s.weight, float64(s.peak + s.turned)}
		s.peak, s.turned = s.inHand, 0
	}
	for i, share := range MaxMin(g.room, wants) {
		s := g.active[i]
		s.allot = max(share, g.fair(s))
	}
}

// Quotas are what the decision module should know anew. While not all can be served, the work of a tenant that has more than
// its share by weight of what is served goes behind that of all who have not, however small its invocations: beside them by
// its size, a flood of small ones had everybody else wait. What others leave it still has.
func (g *Controller) Quotas(now time.Duration) (all []Quota) {
	all, g.fresh, g.SharesChanged = g.fresh, nil, false
	capacity := 0.0
	for _, s := range g.active {
		g.Looks++
		s.rate = s.worked(now)
		capacity += s.rate
	}
	for _, s := range g.active {
		s.share = capacity * s.weight / g.weights
		past := s.share * (1 + apart)
		if s.beyond {
			past = s.share * (1 - apart) // it must not flit to and fro on noise
		}
		if beyond := len(g.active) > 1 && s.rate > past; beyond != s.beyond {
			s.beyond = beyond
			all = append(all, Quota{Index: s.Index, QuotaPerSecond: s.quota()})
		}
	}
	return all
}

func (s *Account) quota() float64 {
	if s.beyond {
		return leastQuota
	}
	return math.Inf(1)
}

// worked is how much of the workers' time a tenant has had a second, by its last few forwards.
func (s *Account) worked(now time.Duration) (sum float64) {
	if len(s.served) == 0 {
		return 0
	}
	for _, w := range s.works {
		sum += w
	}
	return sum / max(0.1, (now-s.served[0]).Seconds())
}

// Seat finds a tenant by name.
func (g *Controller) Account(name string) *Account { return g.byName[name] }

// ByHandle finds a tenant by what its ids begin with.
func (g *Controller) ByHandle(handle string) *Account {
	return g.byHandle[handle]
}

// Names lists the tenants that may come in.
func (g *Controller) Names() []string { return slices.Sorted(maps.Keys(g.byName)) }

// Active counts the tenants at work.
func (g *Controller) Active() int { return len(g.active) }

// Retell has all quotas told again, to decisions that have begun anew.
func (g *Controller) Republish() {
	g.fresh = nil
	for _, s := range g.seats {
		if s != nil {
			g.fresh = append(g.fresh, Quota{s.Index, s.quota(), true})
		}
	}
}

// Usage counts what a tenant has had here since this process has known it.
func (g *Controller) Usage(s *Account) Usage {
	u := s.usage
	u.Throttled = map[RejectionKind]int{}
	for _, k := range RejectionKinds {
		u.Throttled[k] = s.usage.Throttled[k]
	}
	u.InFlight, u.HeldWorkS, u.ShareInFlight = s.inHand, s.held, g.fair(s)
	u.Rate, u.Share, u.OverShare = s.rate, s.share, s.beyond
	if s.here == 0 { // idle: what it would have if it came now
		u.ShareInFlight = g.room * s.weight / (g.weights + s.weight)
	}
	return u
}

// Seats counts the places that the decision module has to know.
func (g *Controller) Accounts() int { return len(g.seats) }

// InHand counts what was let in and has not ended.
func (g *Controller) InFlight() int { return g.total }

// keep adds a sample and lets the oldest go.
func keep[T any](s []T, v T) []T {
	if len(s) == sampleCount {
		copy(s, s[1:])
		s = s[:sampleCount-1]
	}
	return append(s, v)
}
