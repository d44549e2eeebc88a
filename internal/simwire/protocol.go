package simwire

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// eventCode is the code of a record from the simulator. The constants have the protocol's names.
type eventCode uint8

const (
	eventUp              eventCode = 1
	eventDirectoryUpdate eventCode = 2
	eventInbound         eventCode = 3
	eventBegun           eventCode = 4
	eventCompleted       eventCode = 5
	eventWithdrawn       eventCode = 6
	eventTickDue         eventCode = 7
	eventHealth          eventCode = 8
	eventPeer            eventCode = 9
	eventPowerOff        eventCode = 10
	eventHeartbeat       eventCode = 11
)

// actionCode is the code of a record to the simulator. The constants have the protocol's names.
type actionCode uint8

const (
	actionForward     actionCode = 1
	actionNotNow      actionCode = 2
	actionDropRequest actionCode = 3
	actionCallOff     actionCode = 4
	actionAfter       actionCode = 5
	actionHealthCheck actionCode = 6
	actionMemoTo      actionCode = 8
	actionJournalLine actionCode = 9
	actionBroken      actionCode = 10
	actionFollow      actionCode = 11
)

const (
	// lengthSize is the size in bytes of a frame's first field, which holds the number of bytes
	// after it.
	lengthSize = 4
	// clockOffset is the offset in bytes of the clock in a batch.
	clockOffset = 8
	// batchHeaderSize is the size in bytes of a batch's header: the length, the number of records
	// and the clock.
	batchHeaderSize = 16
	// replyHeaderSize is the size in bytes of a reply's header: the length and the number of records.
	replyHeaderSize = 8
	// maxFrameSize is the maximum size of a frame in bytes. It is far above that of any batch of a
	// run, so a greater length means that reader and writer are out of sync.
	maxFrameSize = 1 << 28
	// bufferSize is the size in bytes of each stream's buffer.
	bufferSize = 1 << 16
	// endpointSize is the size in bytes of one endpoint in an endpoint list.
	endpointSize = 23
	// begunSkippedSize is the size in bytes of the fields of a begun event that are not used: the
	// worker and the elapsed time.
	begunSkippedSize = 14

	// hintValid is the flag of an inbound event that marks its hint as valid.
	hintValid uint16 = 1
	// everyPeer is the recipient of a memo that goes to all peers.
	everyPeer uint16 = 0xffff
	// subscribe is the value of a follow action that starts an endpoint watch.
	subscribe uint8 = 1
	// noToken is the token of timer events and actions; it is not used.
	noToken = 0
	// noAttemptTimeout is the limit of a forward action whose attempt has no timeout of its own.
	noAttemptTimeout = 0
	// fullRating is the rating that Host writes for each worker; readers ignore it.
	fullRating = 1
	// startedBeforeRun is the start time of a worker that was started before the run began, at an
	// unknown time.
	startedBeforeRun = 0
	// nearZeroStartSeconds replaces a known start time that would be read as startedBeforeRun.
	nearZeroStartSeconds = 1e-9
)

// The kinds of a heartbeat event.
const (
	heartbeatStarted  uint8 = 1
	heartbeatProgress uint8 = 2
)

// The forms of a directory update.
const (
	formFailed uint8 = 0
	formCached uint8 = 1
	formDelta  uint8 = 3
	formFull   uint8 = 4
)

var updateKindByForm = map[uint8]dispatch.UpdateKind{
	formFailed: dispatch.WatchFailed,
	formCached: dispatch.FullUpdate,
	formDelta:  dispatch.DeltaUpdate,
	formFull:   dispatch.FullUpdate,
}

var formByUpdateKind = map[dispatch.UpdateKind]uint8{
	dispatch.WatchFailed: formFailed,
	dispatch.FullUpdate:  formCached,
	dispatch.DeltaUpdate: formDelta,
}

// The states of a worker in a list.
const (
	workerGone     uint8 = 0
	workerReady    uint8 = 1
	workerDraining uint8 = 2
)

var endpointStateByCode = map[uint8]dispatch.EndpointState{
	workerGone:     dispatch.Gone,
	workerReady:    dispatch.Ready,
	workerDraining: dispatch.Draining,
}

var codeByEndpointState = map[dispatch.EndpointState]uint8{
	dispatch.Gone:     workerGone,
	dispatch.Ready:    workerReady,
	dispatch.Draining: workerDraining,
}

// The statuses of an attempt's result.
const (
	statusOK            uint16 = 100
	statusError         uint16 = 301
	statusFull          uint16 = 302
	statusTimeout       uint16 = 303
	statusConnectFailed uint16 = 304
	statusReset         uint16 = 305
	statusCancelled     uint16 = 306
	statusMoot          uint16 = 307
)

var resultByStatus = map[uint16]dispatch.Result{
	statusOK:            dispatch.Succeeded,
	statusError:         dispatch.Failed,
	statusFull:          dispatch.Rejected,
	statusTimeout:       dispatch.TimedOut,
	statusConnectFailed: dispatch.Unreachable,
	statusReset:         dispatch.ConnectionBroken,
	statusCancelled:     dispatch.Cancelled,
	statusMoot:          dispatch.NotSent,
}

// statusByResult maps each result to its status. A result without a status of its own has the nearest
// status that guarantees less.
var statusByResult = map[dispatch.Result]uint16{
	dispatch.Succeeded:              statusOK,
	dispatch.Failed:                 statusError,
	dispatch.BadRequest:             statusError,
	dispatch.Rejected:               statusFull,
	dispatch.TimedOut:               statusTimeout,
	dispatch.Unreachable:            statusConnectFailed,
	dispatch.ConnectionBroken:       statusReset,
	dispatch.ReusedConnectionBroken: statusReset,
	dispatch.Cancelled:              statusCancelled,
	dispatch.NotSent:                statusMoot,
}

// epoch is the simulator's clock, in seconds, at the start of an instance. The clock may begin at any
// value; the times of an instance are relative to its start.
type epoch float64

// since returns the time from the instance's start to a clock value in seconds.
func (e epoch) since(clock float64) time.Duration { return settings.Duration(clock - float64(e)) }

// clock returns the clock value in seconds at a time relative to the instance's start.
func (e epoch) clock(t time.Duration) float64 { return float64(e) + t.Seconds() }

// decodeParams are the parameters for decoding the records of one instance.
type decodeParams struct {
	epoch  epoch
	report settings.Report // meanings of the values in load reports
}
