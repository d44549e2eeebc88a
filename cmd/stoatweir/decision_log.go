package main

import (
	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
)

// logFields are the fields of a log line of the decisions.
func logFields(line dispatch.Log) logrus.Fields {
	fields := logrus.Fields{}
	if line.Worker.IsValid() {
		fields["worker"] = line.Worker
	}
	if line.Reason != "" {
		fields["reason"] = line.Reason
	}
	if line.RetryAt > 0 {
		fields["retry_at"] = line.RetryAt
	}
	return fields
}
