package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// A hollow process stands for a part of the fleet that is not measured. It is told what it stands for in one line on its
// standard input, says in one line that it is ready, and from then on answers each order with one line. It ends with its
// input, so that it cannot outlive whoever started it.

// Roles of hollow processes.
const (
	FleetRole   = "fleet"   // workers, and the list of them
	ClientsRole = "clients" // those of all schedulers
	OthersRole  = "others"  // schedulers that only send and take messages
)

// Part is what a hollow process stands for.
type Part struct {
	Role       string   `json:"Role"`
	Scenario   Scenario `json:"Scenario"`
	Schedulers []string `json:"Schedulers"` // where each real one listens
	Host       string   `json:"Host"`       // the address to listen at
	Endpoints  []string `json:"Endpoints"`  // of the workers
	Peers      []string `json:"Peers"`      // where each scheduler of the pool takes messages, by number: the real ones
}

// Order is what a hollow process is asked to do.
type Order struct {
	Do    string        `json:"Do"`    // stats, start, lose, return, freeze
	For   time.Duration `json:"For"`   // start: so long the pool is filled
	Count int           `json:"Count"` // lose: so many workers of the first zone
}

// Stats are what a hollow process has seen since its start; which of them it tells depends on its role.
type Stats struct {
	Discovery string   `json:"Discovery,omitempty"` // where the list is, once ready
	Endpoints []string `json:"Endpoints,omitempty"` // of workers, at the beginning; of schedulers for messages
	// of the fleet, for all schedulers
	Starts      int64 `json:"Starts"`
	Probes      int64 `json:"Probes"`
	Cancels     int64 `json:"Cancels"`
	News        int64 `json:"News"`
	ProbeBytes  int64 `json:"ProbeBytes"`
	CancelBytes int64 `json:"CancelBytes"`
	TakeBytes   int64 `json:"TakeBytes"`
	NewsBytes   int64 `json:"NewsBytes"` // bytes of these four with the heads of HTTP
	Lists       int64 `json:"Lists"`
	ListBytes   int64 `json:"ListBytes"`
	Running     int64 `json:"Running"`
	Changes     int64 `json:"Changes"`
	Strange     int64 `json:"Strange"`
	NewsFailed  int64 `json:"NewsFailed"`
	// of the clients
	Offered   int64         `json:"Offered"`
	Succeeded int64         `json:"Succeeded"`
	Throttled int64         `json:"Throttled"`
	Errored   int64         `json:"Errored"`
	Broken    int64         `json:"Broken"`
	InHand    int64         `json:"InHand"`
	LateMost  time.Duration `json:"LateMost"`
	// of the other schedulers
	MessagesIn      int64 `json:"MessagesIn"`
	MessagesOut     int64 `json:"MessagesOut"`
	MessageBytesIn  int64 `json:"MessageBytesIn"`
	MessageBytesOut int64 `json:"MessageBytesOut"`
}

// Hollow is the whole of a hollow process.
func Hollow(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReaderSize(in, 1<<20)
	encode, decode := json.NewEncoder(out), json.NewDecoder(lines)
	var p Part
	if err := decode.Decode(&p); err != nil {
		return fmt.Errorf("hollow: what it stands for can't be read: %w", err)
	}
	var player interface {
		carry(Order) (Stats, error)
	}
	var err error
	switch p.Role {
	case FleetRole:
		player, err = newFleet(ctx, p)
	case ClientsRole:
		player, err = newClients(ctx, p)
	case OthersRole:
		player, err = newOthers(ctx, p)
	default:
		err = fmt.Errorf("hollow: %q is no role", p.Role)
	}
	if err != nil {
		return err
	}
	for o := (Order{Do: "begin"}); ; {
		s, err := player.carry(o)
		if err != nil {
			return err
		}
		if err := encode.Encode(s); err != nil {
			return err
		}
		if err := decode.Decode(&o); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}
