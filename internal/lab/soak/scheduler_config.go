package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	drainGrace        = 500 * time.Millisecond  // attempts may go to a worker for this long after it is known to drain
	maxPollDelay      = 6 * time.Second         // once the list has been reachable for this long, a change counts as notified
	longestTimeout    = 2 * time.Second         // the longest client timeout of all classes
	dedupWindow       = 1500 * time.Millisecond // deduplication window of the workers
	connectTimeout    = 250 * time.Millisecond  // for connections to workers
	connIdleTimeout   = time.Second             // an idle connection to a worker is closed after this time
	maxRetryAfter     = 500 * time.Millisecond  // longest Retry-After of a rejection
	pollWithinSeconds = 10                      // the list is polled at least once in this time

	memoryLimitMB = 64  // limits.memory_mb of a scheduler
	socketLimit   = 256 // limits.sockets of a scheduler

	// The settings that scheduler.settingsVariant varies.
	minObjectiveSeconds  = 0.4 // the shortest latency objective
	objectiveStepSeconds = 0.1 // difference between two variants of the latency objective
	objectiveVariants    = 3
	cancelVariants       = 4 // one variant in this many forbids cancellation
	minForwards          = 3 // the lowest limit on the attempts of a request
	forwardVariants      = 2 // number of such limits, from minForwards up
)

// Values of the settings Effect and DedupScope that the rules distinguish.
const (
	effectReadLike      = "read_like"
	effectKeyed         = "idempotency_key"
	effectNonIdempotent = "non_idempotent"
	scopeZone           = "zone"
	scopeAll            = "all"
)

// requestClass is a kind of request, with the settings of its operation.
type requestClass struct {
	name       string
	effect     string
	dedupScope string
	timeout    time.Duration // client timeout
}

var requestClasses = []requestClass{
	{name: "render", effect: effectReadLike, timeout: longestTimeout},
	{name: "keyed", effect: effectKeyed, dedupScope: scopeZone, timeout: 1500 * time.Millisecond},
	{name: "sale", effect: effectNonIdempotent, timeout: 1800 * time.Millisecond},
}

// schedulerConfig is the configuration file of a scheduler.
type schedulerConfig struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"`
	Limits    processLimits     `json:"limits"`
	Known     json.RawMessage   `json:"known"`
	Settings  schedulerSettings `json:"settings"`
}

type processLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// schedulerSettings holds the deployment settings. Durations are in seconds.
type schedulerSettings struct {
	Discovery  string
	PeersTotal int
	MyNumber   int
	MyZone     int
	Dcs        []string
	Kinds      []string
	Operations []operationSettings
	WeightKind string
	FamilyInfo familySettings
	Report     reportSettings
	Limits     limitSettings
	Rules      ruleSettings
}

type operationSettings struct {
	Name             string
	Effect           string
	DedupScope       string
	DedupWindow      float64
	LatencyObjective float64
	LateBilledValue  float64
	ClientTimeout    float64
	BilledValue      float64
}

type familySettings struct {
	ReportX0   string
	TellsStart bool
}

type reportSettings struct {
	How   string
	Names []string
}

type limitSettings struct {
	Probes         bool
	Cancel         bool
	MostForwards   int
	RetryAfter     bool
	MaxRetryAfter  float64
	ConnectTimeout float64
	ConnIdle       float64
}

type ruleSettings struct {
	AskWithin         float64
	StopSendingWithin float64
	ColdFrom          float64
	WarmAfter         float64
	FallMultiple      float64
	Fall              float64
}

// configure writes the configuration file with a given address of the endpoint list.
func (s *scheduler) configure(h *harness, discovery string) error {
	text, err := json.Marshal(schedulerConfig{
		Name:      s.name(),
		Listen:    s.address,
		Discovery: discovery,
		Seed:      fmt.Sprintf("%016x", uint64(h.Seed)<<16|uint64(s.number)),
		Limits:    processLimits{MemoryMB: memoryLimitMB, Sockets: socketLimit},
		Known:     h.endpoints.updateSince(noRevision).text,
		Settings:  s.settings(h),
	})
	if err != nil {
		return err
	}
	return replaceFile(s.configPath(), text)
}

func (s *scheduler) configPath() string { return filepath.Join(s.dir, "config.json") }

func (s *scheduler) settings(h *harness) schedulerSettings {
	return schedulerSettings{
		Discovery:  h.discoveryMode(),
		PeersTotal: h.Schedulers,
		MyNumber:   s.number,
		MyZone:     s.number % zoneCount,
		Dcs:        []string{zoneName(0), zoneName(1), zoneName(2)},
		Kinds:      []string{workerModel},
		Operations: s.operations(),
		WeightKind: "none",
		FamilyInfo: familySettings{ReportX0: "free slots", TellsStart: true},
		Report:     reportSettings{How: "probe", Names: []string{"x0", "waiting", "avg_ms"}},
		Limits: limitSettings{
			Probes:         true,
			Cancel:         s.settingsVariant%cancelVariants != cancelVariants-1,
			MostForwards:   minForwards + s.settingsVariant%forwardVariants,
			RetryAfter:     true,
			MaxRetryAfter:  maxRetryAfter.Seconds(),
			ConnectTimeout: connectTimeout.Seconds(),
			ConnIdle:       connIdleTimeout.Seconds(),
		},
		Rules: ruleSettings{
			AskWithin:         pollWithinSeconds,
			StopSendingWithin: drainGrace.Seconds(),
			ColdFrom:          slowStartInitialCapacity,
			WarmAfter:         slowStartDuration.Seconds(),
			FallMultiple:      overloadFactor,
			Fall:              overloadWindow.Seconds(),
		},
	}
}

func (s *scheduler) operations() []operationSettings {
	var operations []operationSettings
	for n, c := range requestClasses {
		operations = append(operations, operationSettings{
			Name:             c.name,
			Effect:           c.effect,
			DedupScope:       c.dedupScope,
			DedupWindow:      dedupWindow.Seconds(),
			LatencyObjective: minObjectiveSeconds + objectiveStepSeconds*float64((s.settingsVariant+n)%objectiveVariants),
			LateBilledValue:  0.5,
			ClientTimeout:    c.timeout.Seconds(),
			BilledValue:      1,
		})
	}
	return operations
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

// replaceFile replaces a file atomically: a reader sees the old content or the new one, never a part.
func replaceFile(path string, text []byte) error {
	tempPath := path + ".new"
	if err := os.WriteFile(tempPath, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tempPath, path)
}
