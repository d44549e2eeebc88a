package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// A hollow process emulates a part of the deployment that is not measured. It reads what it
// emulates as one line of its standard input, writes one line when it is ready, and from then on
// answers each order by one line. It ends with its input, so that it cannot outlive the process
// that started it.

// Roles of hollow processes.
const (
	WorkersRole    = "fleet"   // workers, and the list of them
	ClientsRole    = "clients" // those of all schedulers
	SchedulersRole = "others"  // schedulers that only send and receive gossip
)

// Orders of a rig to its hollow processes.
const (
	orderBegin   = "begin"  // answered once, before any other, with the endpoints
	orderStats   = "stats"  // nothing but the answer
	orderStart   = "start"  // the load, or the changes of the list
	orderFreeze  = "freeze" // load reports
	orderLose    = "lose"   // workers
	orderRestore = "return" // the lost workers
)

const (
	orderBufferBytes = 1 << 20 // bytes
	dialTimeout      = time.Second
)

// HollowConfig is what a hollow process emulates.
type HollowConfig struct {
	Role           string   `json:"Role"`
	Scenario       Scenario `json:"Scenario"`
	SchedulerAddrs []string `json:"Schedulers"` // where each real one listens
	ListenHost     string   `json:"Host"`       // the address to listen at
	WorkerAddrs    []string `json:"Endpoints"`  // of the workers
	GossipAddrs    []string `json:"Peers"`      // where the real schedulers receive gossip, by index
}

// Order is what a hollow process is to do.
type Order struct {
	Action string        `json:"Do"`    // stats, start, lose, return, freeze
	RampUp time.Duration `json:"For"`   // start: the time in which the clients reach the requests in flight that are aimed at
	Count  int           `json:"Count"` // lose: so many workers of the first zone
}

// Stats are what a hollow process has seen since its start; which of them it fills in depends on
// its role.
type Stats struct {
	Discovery string   `json:"Discovery,omitempty"` // where the list is, once ready
	Endpoints []string `json:"Endpoints,omitempty"` // of workers, at the beginning; of schedulers for gossip

	// Of the workers, for all schedulers; bytes are those of HTTP with the heads, both ways.
	Starts           int64 `json:"Starts"`
	HealthChecks     int64 `json:"Probes"`
	Cancels          int64 `json:"Cancels"`
	Callbacks        int64 `json:"News"` // callbacks
	HealthCheckBytes int64 `json:"ProbeBytes"`
	CancelBytes      int64 `json:"CancelBytes"`
	StartBytes       int64 `json:"TakeBytes"`
	CallbackBytes    int64 `json:"NewsBytes"`
	ListRequests     int64 `json:"Lists"` // calls to the list
	ListBytes        int64 `json:"ListBytes"`
	Running          int64 `json:"Running"`
	EntryChanges     int64 `json:"Changes"` // entries of the list
	Unexpected       int64 `json:"Strange"` // calls or messages that nobody should send
	CallbacksFailed  int64 `json:"NewsFailed"`

	// Of the clients.
	Offered          int64         `json:"Offered"`
	Succeeded        int64         `json:"Succeeded"`
	Throttled        int64         `json:"Throttled"`
	Failed           int64         `json:"Errored"`
	ConnectionErrors int64         `json:"Broken"`
	InFlight         int64         `json:"InHand"`
	MaxLateness      time.Duration `json:"LateMost"` // of an arrival against its plan

	// Of the other schedulers.
	MessagesIn      int64 `json:"MessagesIn"`
	MessagesOut     int64 `json:"MessagesOut"`
	MessageBytesIn  int64 `json:"MessageBytesIn"`
	MessageBytesOut int64 `json:"MessageBytesOut"`
}

// emulator is what a hollow process runs.
type emulator interface {
	execute(Order) (Stats, error)
}

func newEmulator(ctx context.Context, config HollowConfig) (emulator, error) {
	switch config.Role {
	case WorkersRole:
		return newWorkerPool(ctx, config)
	case ClientsRole:
		return newEmulatedClients(ctx, config), nil
	case SchedulersRole:
		return newEmulatedSchedulers(ctx, config)
	default:
		return nil, fmt.Errorf("hollow: %q is no role", config.Role)
	}
}

// Hollow runs a hollow process until its input ends. Errors are those of its input and output, and
// of orders that it does not know.
func Hollow(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	encoder := json.NewEncoder(out)
	decoder := json.NewDecoder(bufio.NewReaderSize(in, orderBufferBytes))
	var config HollowConfig
	if err := decoder.Decode(&config); err != nil {
		return fmt.Errorf("hollow: its part can't be read: %w", err)
	}
	emulator, err := newEmulator(ctx, config)
	if err != nil {
		return err
	}
	order := Order{Action: orderBegin}
	for {
		stats, err := emulator.execute(order)
		if err != nil {
			return err
		}
		if err := encoder.Encode(stats); err != nil {
			return err
		}
		err = decoder.Decode(&order)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
