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

// A hollow process emulates a part of the deployment that is not measured. It reads its
// configuration as one line of JSON from standard input, writes one line of statistics when it is
// ready, and then answers each order with one such line. It exits when its input ends, so that it
// cannot outlive the process that started it.

// Roles of hollow processes.
const (
	WorkersRole    = "fleet"   // all workers and their endpoint list
	ClientsRole    = "clients" // the clients of all schedulers
	SchedulersRole = "others"  // schedulers that only send and receive gossip
)

// Orders from a rig to its hollow processes.
const (
	orderBegin   = "begin"  // executed once, before any other order; the answer has the endpoints
	orderStats   = "stats"  // returns the statistics only
	orderStart   = "start"  // starts the load, or the changes of the list
	orderFreeze  = "freeze" // stops the load reports from changing
	orderLose    = "lose"   // takes workers away without notice
	orderRestore = "return" // brings the lost workers back
)

const (
	orderBufferBytes = 1 << 20
	dialTimeout      = time.Second
)

// HollowConfig tells a hollow process what to emulate.
type HollowConfig struct {
	Role           string   `json:"Role"`
	Scenario       Scenario `json:"Scenario"`
	SchedulerAddrs []string `json:"Schedulers"` // listen addresses of the real schedulers
	ListenHost     string   `json:"Host"`       // IP address to listen on
	WorkerAddrs    []string `json:"Endpoints"`  // addresses of all workers
	GossipAddrs    []string `json:"Peers"`      // where the real schedulers receive gossip, by scheduler index
}

// Order is an instruction to a hollow process.
type Order struct {
	Action string        `json:"Do"`    // stats, start, lose, return, freeze
	RampUp time.Duration `json:"For"`   // start: time in which clients reach the target number of requests in flight
	Count  int           `json:"Count"` // lose: number of workers of the first zone
}

// Stats are the statistics of a hollow process since its start. Which fields are set depends on its
// role.
type Stats struct {
	Discovery string   `json:"Discovery,omitempty"` // address of the endpoint list
	Endpoints []string `json:"Endpoints,omitempty"` // of the workers, at the beginning; gossip addresses of all schedulers

	// Of the workers, summed over all schedulers. Bytes are those of HTTP in both directions, headers
	// included.
	Starts           int64 `json:"Starts"`
	HealthChecks     int64 `json:"Probes"`
	Cancels          int64 `json:"Cancels"`
	Callbacks        int64 `json:"News"` // callbacks that were answered with success
	HealthCheckBytes int64 `json:"ProbeBytes"`
	CancelBytes      int64 `json:"CancelBytes"`
	StartBytes       int64 `json:"TakeBytes"`
	CallbackBytes    int64 `json:"NewsBytes"`
	ListRequests     int64 `json:"Lists"`     // requests for the endpoint list
	ListBytes        int64 `json:"ListBytes"` // of the response bodies
	Running          int64 `json:"Running"`
	EntryChanges     int64 `json:"Changes"` // changed entries of the list
	Unexpected       int64 `json:"Strange"` // calls or messages that no scheduler should send
	CallbacksFailed  int64 `json:"NewsFailed"`

	// Of the clients.
	Offered          int64         `json:"Offered"`
	Succeeded        int64         `json:"Succeeded"`
	Throttled        int64         `json:"Throttled"`
	Failed           int64         `json:"Errored"`
	ConnectionErrors int64         `json:"Broken"`
	InFlight         int64         `json:"InHand"`
	MaxLateness      time.Duration `json:"LateMost"` // longest time from the scheduled time of an arrival to its sending

	// Of the emulated schedulers.
	MessagesIn      int64 `json:"MessagesIn"`
	MessagesOut     int64 `json:"MessagesOut"`
	MessageBytesIn  int64 `json:"MessageBytesIn"`
	MessageBytesOut int64 `json:"MessageBytesOut"`
}

// emulator executes the orders that a hollow process receives.
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
		return nil, fmt.Errorf("hollow: unknown role %q, expected fleet, clients or others", config.Role)
	}
}

// RunEmulator runs a hollow process until its input ends. It returns errors of reading and writing,
// of starting the emulation, and of unknown orders.
func RunEmulator(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	encoder := json.NewEncoder(out)
	decoder := json.NewDecoder(bufio.NewReaderSize(in, orderBufferBytes))
	var config HollowConfig
	if err := decoder.Decode(&config); err != nil {
		return fmt.Errorf("hollow: reading the configuration: %w", err)
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
