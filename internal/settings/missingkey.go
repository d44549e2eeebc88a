package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// startOnlyKeys are read only at a start, so a newer configuration need not have them.
var startOnlyKeys = map[string]bool{"known": true, "seed": true}

// MissingKey returns an error that names a key which the running configuration has and a newer one
// does not: the latter was cut short, or written by mistake.
func (p Process) MissingKey(newer Process) error {
	var running, next any
	if json.Unmarshal(p.Text, &running) != nil || json.Unmarshal(newer.Text, &next) != nil {
		return nil // what can't be parsed was not accepted; a running one without a text has no keys
	}
	if key := findMissingKey(running, next, ""); key != "" {
		return fmt.Errorf("%s: is missing, and the running configuration has it", key)
	}
	return nil
}

// findMissingKey returns the path of a key that a value has and its newer form does not; empty if
// there is none.
func findMissingKey(running, next any, path string) string {
	switch running := running.(type) {
	case map[string]any:
		object, ok := next.(map[string]any)
		if !ok {
			return path
		}
		return findMissingMember(running, object, path)
	case []any:
		// Each entry of a list of objects must have what all entries have now.
		list, ok := next.([]any)
		if !ok {
			return path
		}
		required := commonMembers(running)
		for i, entry := range list {
			if missing := findMissingKey(required, entry, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

func findMissingMember(running, next map[string]any, path string) string {
	for _, key := range slices.Sorted(maps.Keys(running)) {
		memberPath := key
		if path != "" {
			memberPath = path + "." + key
		}
		if startOnlyKeys[memberPath] {
			continue
		}
		value, ok := next[key]
		if !ok {
			return memberPath
		}
		if missing := findMissingKey(running[key], value, memberPath); missing != "" {
			return missing
		}
	}
	return ""
}

// commonMembers returns an object with the keys that all entries of a list have; nil if there are
// no entries, or some are no objects.
func commonMembers(list []any) any {
	var common map[string]any
	for _, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, present := object[key]
			return !present
		})
	}
	if common == nil {
		return nil
	}
	return common
}
