package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// startOnlyKeys are the keys that are read only at startup and may be missing from a newer
// configuration.
var startOnlyKeys = map[string]bool{"known": true, "seed": true}

// MissingKey returns an error that names a key of the running configuration that the newer one lacks,
// which means that the newer file was truncated or written by mistake. It returns nil if there is no
// such key.
func (p Process) MissingKey(newer Process) error {
	var runningValue, newerValue any
	if json.Unmarshal(p.Text, &runningValue) != nil || json.Unmarshal(newer.Text, &newerValue) != nil {
		return nil // text that can't be parsed was never accepted, and a process without text has no keys
	}
	if key := findMissingKey(runningValue, newerValue, ""); key != "" {
		return fmt.Errorf("%s: is missing, and the running configuration has it", key)
	}
	return nil
}

// findMissingKey returns the path of a key of the running value that the newer value lacks; empty: none
// is missing.
func findMissingKey(running, newer any, path string) string {
	switch running := running.(type) {
	case map[string]any:
		newerObject, ok := newer.(map[string]any)
		if !ok {
			return path
		}
		return findMissingMember(running, newerObject, path)
	case []any:
		// Each object in the new list needs the keys that all objects in the running list have.
		newerList, ok := newer.([]any)
		if !ok {
			return path
		}
		required := commonMembers(running)
		for i, entry := range newerList {
			if missing := findMissingKey(required, entry, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

func findMissingMember(running, newer map[string]any, path string) string {
	for _, key := range slices.Sorted(maps.Keys(running)) {
		memberPath := key
		if path != "" {
			memberPath = path + "." + key
		}
		if startOnlyKeys[memberPath] {
			continue
		}
		value, ok := newer[key]
		if !ok {
			return memberPath
		}
		if missing := findMissingKey(running[key], value, memberPath); missing != "" {
			return missing
		}
	}
	return ""
}

// commonMembers returns an object with the keys that all entries of a list have; nil if the list is
// empty or contains anything but objects.
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
