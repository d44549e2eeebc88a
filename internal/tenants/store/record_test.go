package store

import (
	"errors"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
)

// setWeight is a migration that sets the weight of each changed tenant to 7.
func setWeight(payload []byte) ([]byte, error) {
	var r map[string]any
	if err := json.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	if change, ok := r["change"].(map[string]any); ok {
		change["tenant"].(map[string]any)["spec"].(map[string]any)["weight"] = 7.0
	}
	return json.Marshal(r)
}

func TestEarlierSchemaIsMigratedAndLaterOneRejected(t *testing.T) {
	presentSchema := currentSchema
	presentMigrations := migrations
	defer func() {
		currentSchema = presentSchema
		migrations = presentMigrations
	}()
	files := newMemFiles()
	s, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(s, "old", 1); err != nil {
		t.Fatal(err)
	}
	s.Close()

	currentSchema = 2
	migrations = map[int]migration{1: setWeight}
	s, err = Open(files)
	if err != nil || s.Directory.All()[0].Spec.Weight != 7 {
		t.Fatal(err)
	}
	if err := put(s, "new", 1); err != nil {
		t.Fatal(err)
	}
	s.Close()

	currentSchema = 1
	before := len(files.names[logFileName].content)
	_, err = Open(files)
	if !errors.Is(err, ErrNewerSchema) || len(files.names[logFileName].content) != before {
		t.Error(err)
	}

	currentSchema = 3
	migrations = nil
	_, err = Open(files)
	if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "no way from schema 1") {
		t.Error(err)
	}
}
