package simwire

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

// eventCode is the code of a record from the simulator, by the protocol's name.
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

// actionCode is the code of a record to the simulator, by the protocol's name.
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
	// lengthSize is the size in bytes of a frame's first field, which counts the bytes after it.
	lengthSize = 4
	// clockOffset is where in a batch the clock is, in bytes.
	clockOffset = 8
	// batchHeaderSize is the size in bytes of the length, the number of records and the clock.
	batchHeaderSize = 16
	// replyHeaderSize is the size in bytes of the length and the number of records.
	replyHeaderSize = 8
	// maxFrame is the longest frame in bytes. It is far above any batch of a run; a larger length means that the stream is
	// out of step.
	maxFrame = 1 << 28
	// bufferSize is the size in bytes of the buffers of a stream.
	bufferSize = 1 << 16
	// endpointSize is the size in bytes of one endpoint in a list.
	endpointSize = 23
	// begunSkipped is the size in bytes of the worker and the elapsed time in a begun event.
	begunSkipped = 14

	// hintValid is the bit of an inbound event's marks that says that the hint is valid.
	hintValid uint16 = 1
	// everyPeer addresses a memo to all peers.
	everyPeer uint16 = 0xffff
	// subscribe is the value of a follow action that subscribes.
	subscribe uint8 = 1
	// noToken is the token of events and actions whose token nobody reads.
	noToken = 0
	// noLimit leaves an attempt without a timeout of its own.
	noLimit = 0
	// fullRating is the rating of a worker that the Host writes; readers pass over it.
	fullRating = 1
	// longAgo is the start time of a worker that has run since before the run began.
	longAgo = 0
	// nearLongAgo stands for a start time that would read as longAgo, in seconds.
	nearLongAgo = 1e-9
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

// statusByResult gives a result that the protocol does not have as the nearest that promises less.
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

// epoch is the reading of the simulator's clock, in seconds, when an instance started. The clock begins anywhere; the times
// of an instance count from its start.
type epoch float64

// since is the time between the instance's start and a reading of the clock.
func (e epoch) since(clock float64) time.Duration { return settings.Duration(clock - float64(e)) }

// clock is the reading of the clock at a time of the instance.
func (e epoch) clock(t time.Duration) float64 { return float64(e) + t.Seconds() }

// dialect is how the records of one instance are to be read.
type dialect struct {
	epoch  epoch
	report settings.Report // what the values of a load report mean
}
