package dispatch

import (
	"fmt"
	"time"
)

// The messages of log lines.
const (
	logWorkerEjected    = "worker ejected"
	logWorkerReinstated = "worker reinstated on probation"
	logWatchRetry       = "endpoint watch failed, retrying"
)

// Log is a log line for operators: a fixed message and its fields.
type Log struct {
	Message string
	Worker  WorkerID      // zero: the line is about no worker
	Reason  string        // empty: no reason is given
	RetryAt time.Duration // time since the instance's start; 0: nothing is retried
}

func ejectedLog(worker WorkerID, reason ejectReason) Log {
	return Log{Message: logWorkerEjected, Worker: worker, Reason: string(reason)}
}

func reinstatedLog(worker WorkerID) Log {
	return Log{Message: logWorkerReinstated, Worker: worker}
}

func watchRetryLog(at time.Duration) Log {
	return Log{Message: logWatchRetry, RetryAt: at}
}

// String returns the line as text, for outputs without separate fields.
func (l Log) String() string {
	text := l.Message
	if l.Worker.IsValid() {
		text += fmt.Sprintf(" worker=%v", l.Worker)
	}
	if l.Reason != "" {
		text += fmt.Sprintf(" reason=%q", l.Reason)
	}
	if l.RetryAt > 0 {
		text += fmt.Sprintf(" retry_at=%v", l.RetryAt)
	}
	return text
}
