package main

import (
	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
)

// logFieldsOf returns the logger fields of a dispatcher log entry.
func logFieldsOf(entry dispatch.Log) logrus.Fields {
	fields := logrus.Fields{}
	if entry.Worker.IsValid() {
		fields["worker"] = entry.Worker
	}
	if entry.Reason != "" {
		fields["reason"] = entry.Reason
	}
	if entry.RetryAt > 0 {
		fields["retry_at"] = entry.RetryAt
	}
	return fields
}
