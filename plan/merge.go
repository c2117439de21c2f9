package plan

import (
	"bytes"
	"context"
	"fmt"

	"github.com/balsamlock/balsamlock/ledger"
)

// Merge performs a three-way merge of documents by the names of entries: it
// applies the changes from base to mine to theirs. Entries that both sides
// changed differently are listed in conflicts, with the version of mine in the
// result. The merged document may have findings.
func Merge(base, mine, theirs Document) (merged Document, conflicts []string) {
	m := merger{}
	merged = theirs
	merged.Regions = mergeEntries(&m, "regions", base.Regions, mine.Regions, theirs.Regions, func(r Region) string { return r.Name })
	merged.Links = mergeEntries(&m, "links", base.Links, mine.Links, theirs.Links, func(l Link) string { return pairName(l.From, l.To) })
	merged.Models = mergeEntries(&m, "models", base.Models, mine.Models, theirs.Models, func(m Model) string { return m.Name })
	merged.Services = mergeEntries(&m, "services", base.Services, mine.Services, theirs.Services, func(s Service) string { return s.Name })
	merged.Pools = mergeEntries(&m, "pools", base.Pools, mine.Pools, theirs.Pools, func(p Pool) string { return p.Name })
	merged.Servers = mergeEntries(&m, "servers", base.Servers, mine.Servers, theirs.Servers, func(s Server) string { return s.Name })
	merged.Callers = mergeEntries(&m, "callers", base.Callers, mine.Callers, theirs.Callers, func(c Caller) string { return c.Name })
	return merged, m.conflicts
}

type merger struct{ conflicts []string }

// mergeEntries merges one list. It keeps the order of theirs and appends new
// entries of mine.
func mergeEntries[T any](m *merger, kind string, base, mine, theirs []T, name func(T) string) []T {
	baseByName, mineByName, theirsByName := indexByName(base, name), indexByName(mine, name), indexByName(theirs, name)
	merged := make([]T, 0, len(theirs))
	mergeEntry := func(key string) {
		baseJSON, mineJSON, theirsJSON := encodeEntry(baseByName, key), encodeEntry(mineByName, key), encodeEntry(theirsByName, key)
		if !bytes.Equal(baseJSON, mineJSON) && !bytes.Equal(baseJSON, theirsJSON) && !bytes.Equal(mineJSON, theirsJSON) {
			m.conflicts = append(m.conflicts, kind+"/"+key)
		}
		source := mineByName
		if bytes.Equal(baseJSON, mineJSON) {
			source = theirsByName
		}
		if entry, ok := source[key]; ok {
			merged = append(merged, entry)
		}
	}
	for _, entry := range theirs {
		mergeEntry(name(entry))
	}
	for _, entry := range mine {
		if _, ok := theirsByName[name(entry)]; !ok {
			mergeEntry(name(entry))
		}
	}
	return merged
}

// encodeEntry returns the JSON of an entry, or nil if there is none with this
// key.
func encodeEntry[T any](entries map[string]T, key string) []byte {
	entry, ok := entries[key]
	if !ok {
		return nil
	}
	return encodeValue(entry)
}

// Fetch reads an accepted document of the history from the log. It fails if the
// digest is not in the history or the log no longer has the record. For an empty
// digest, it returns the empty document.
func Fetch(ctx context.Context, log ledger.Log, history []Accepted, digest string) (Document, error) {
	if digest == "" {
		return emptyDocument(), nil
	}
	for _, accepted := range history {
		if accepted.Digest == digest {
			return fetchVersion(ctx, log, accepted)
		}
	}
	return Document{}, fmt.Errorf("document %s: not among the %d most recently accepted", digest, len(history))
}

func fetchVersion(ctx context.Context, log ledger.Log, accepted Accepted) (Document, error) {
	page, err := log.Read(ctx, ledger.StreamDocuments, ledger.Offset(accepted.Version), 1)
	if err != nil {
		return Document{}, fmt.Errorf("read document version %d: %w", accepted.Version, err)
	}
	if len(page.Records) == 0 || page.Records[0].Offset != ledger.Offset(accepted.Version) {
		return Document{}, fmt.Errorf("read document version %d: no longer in the log", accepted.Version)
	}
	decoded, err := decodeRecord(page.Records[0].Payload)
	if err != nil {
		return Document{}, fmt.Errorf("read document version %d: %w", accepted.Version, err)
	}
	p, ok := decoded.(proposal)
	if !ok {
		return Document{}, fmt.Errorf("read document version %d: %w", accepted.Version, errMalformedRecord)
	}
	document, _, err := p.decode()
	if err != nil {
		return Document{}, fmt.Errorf("read document version %d: %w", accepted.Version, err)
	}
	if document.Digest() != accepted.Digest {
		return Document{}, fmt.Errorf("read document version %d: digest does not match the accepted one", accepted.Version)
	}
	return document, nil
}
