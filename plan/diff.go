package plan

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// ChangeKind is the type of a change.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entry is the list and name of the entry, such as "callers/studio-a".
	Entry string `json:"entry"`
	// Field is the changed field, empty if the whole entry was added or
	// removed.
	Field string `json:"field,omitempty"`
	// Before and After are the JSON values, empty if the field or entry did not
	// exist.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	name := c.Entry
	if c.Field != "" {
		name += "." + c.Field
	}
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s: %s", name, c.After)
	case ChangeRemoved:
		return fmt.Sprintf("- %s: %s", name, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", name, c.Before, c.After)
	}
}

// Diff returns the changes from a to b. Entries are matched by name, and their
// order is ignored except for the calls of a service. The base is not compared,
// because it always differs between two successive documents.
func Diff(a, b Document) []Change {
	a, b = a.canonical(), b.canonical()
	var changes []Change
	if a.FormatVersion != b.FormatVersion {
		changes = append(changes, Change{
			Kind:   ChangeChanged,
			Entry:  "format_version",
			Before: encodeValue(a.FormatVersion),
			After:  encodeValue(b.FormatVersion),
		})
	}
	changes = append(changes, diffEntries("regions", a.Regions, b.Regions, func(r Region) string { return r.Name })...)
	changes = append(changes, diffEntries("links", a.Links, b.Links, func(l Link) string { return pairName(l.From, l.To) })...)
	changes = append(changes, diffEntries("models", a.Models, b.Models, func(m Model) string { return m.Name })...)
	changes = append(changes, diffEntries("services", a.Services, b.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffEntries("pools", a.Pools, b.Pools, func(p Pool) string { return p.Name })...)
	changes = append(changes, diffEntries("servers", a.Servers, b.Servers, func(s Server) string { return s.Name })...)
	return append(changes, diffEntries("callers", a.Callers, b.Callers, func(c Caller) string { return c.Name })...)
}

func diffEntries[T any](kind string, before, after []T, name func(T) string) []Change {
	old, current := indexByName(before, name), indexByName(after, name)
	var changes []Change
	for key, entry := range old {
		if _, ok := current[key]; !ok {
			changes = append(changes, Change{
				Kind:   ChangeRemoved,
				Entry:  kind + "/" + key,
				Before: encodeValue(entry),
			})
		}
	}
	for key, entry := range current {
		previous, ok := old[key]
		if !ok {
			changes = append(changes, Change{
				Kind:  ChangeAdded,
				Entry: kind + "/" + key,
				After: encodeValue(entry),
			})
			continue
		}
		changes = append(changes, diffFields(kind+"/"+key, encodeValue(previous), encodeValue(entry))...)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Field, b.Field))
	})
	return changes
}

func indexByName[T any](entries []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(entries))
	for _, entry := range entries {
		m[name(entry)] = entry
	}
	return m
}

func diffFields(entry string, before, after json.RawMessage) []Change {
	if bytes.Equal(before, after) {
		return nil
	}
	old, current := decodeFields(before), decodeFields(after)
	var changes []Change
	for field, value := range old {
		if bytes.Equal(value, current[field]) {
			continue
		}
		changes = append(changes, Change{
			Kind:   changeKind(current[field]),
			Entry:  entry,
			Field:  field,
			Before: value,
			After:  current[field],
		})
	}
	for field, value := range current {
		if _, ok := old[field]; !ok {
			changes = append(changes, Change{
				Kind:  ChangeAdded,
				Entry: entry,
				Field: field,
				After: value,
			})
		}
	}
	return changes
}

func changeKind(after json.RawMessage) ChangeKind {
	if after == nil {
		return ChangeRemoved
	}
	return ChangeChanged
}

func decodeFields(entry json.RawMessage) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	// The entry was encoded by encodeValue and is a JSON object.
	_ = json.Unmarshal(entry, &fields)
	return fields
}

func encodeValue(v any) json.RawMessage {
	// Entries consist of strings, numbers and lists, so encoding cannot fail.
	raw, _ := json.Marshal(v)
	return raw
}
