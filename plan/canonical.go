package plan

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Digest returns the SHA-256 of the document's canonical form in lower-case
// hex. It covers the base, so that the digests of accepted documents form a
// chain in which no digest occurs twice.
func (d Document) Digest() string {
	// A document consists of strings, numbers and lists, so encoding cannot fail.
	raw, _ := json.Marshal(d.canonical())
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// emptyDocument returns the document that the first accepted document is
// compared with.
func emptyDocument() Document { return Document{FormatVersion: FormatVersion}.withLists() }

// WithBase returns a copy of the document that replaces the accepted document
// with the given digest.
func (d Document) WithBase(digest string) Document {
	d.Base = digest
	return d
}

// canonical returns a copy in which every list whose order has no meaning is
// sorted. The calls of a service keep their order, since they are matched in
// order.
func (d Document) canonical() Document {
	d = d.withLists()
	d.Regions = sortedRegions(d.Regions)
	d.Links = sortedLinks(d.Links)
	d.Models = sortedModels(d.Models)
	d.Services = nonNil(sortedBy(d.Services, func(s Service) string { return s.Name }))
	d.Pools = nonNil(sortedBy(d.Pools, func(p Pool) string { return p.Name }))
	d.Servers = nonNil(sortedBy(d.Servers, func(s Server) string { return s.Name }))
	d.Callers = sortedCallers(d.Callers)
	return d
}

// withLists returns a copy in which required lists are empty rather than nil,
// because the schema does not allow null.
func (d Document) withLists() Document {
	d.Regions = nonNil(d.Regions)
	d.Links = nonNil(d.Links)
	d.Models = nonNil(d.Models)
	d.Services = nonNil(d.Services)
	d.Pools = nonNil(d.Pools)
	d.Servers = nonNil(d.Servers)
	d.Callers = slices.Clone(nonNil(d.Callers))
	for i, caller := range d.Callers {
		d.Callers[i].KeySHA256 = nonNil(caller.KeySHA256)
		d.Callers[i].Models = nonNil(caller.Models)
		d.Callers[i].Services = nonNil(caller.Services)
	}
	d.Services = slices.Clone(d.Services)
	for i, service := range d.Services {
		d.Services[i].Calls = nonNil(service.Calls)
	}
	d.Regions = slices.Clone(d.Regions)
	for i, region := range d.Regions {
		d.Regions[i].DataCentres = nonNil(region.DataCentres)
	}
	return d
}

func nonNil[T any](entries []T) []T {
	if entries == nil {
		return []T{}
	}
	return entries
}

func sortedBy[T any](entries []T, name func(T) string) []T {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b T) int {
		return cmp.Compare(name(a), name(b))
	})
}

func sortedStrings(texts []string) []string {
	return slices.Sorted(slices.Values(texts))
}

func sortedRegions(regions []Region) []Region {
	regions = sortedBy(regions, func(r Region) string { return r.Name })
	for i := range regions {
		regions[i].DataCentres = nonNil(sortedStrings(regions[i].DataCentres))
	}
	return nonNil(regions)
}

func sortedLinks(links []Link) []Link {
	return nonNil(slices.SortedStableFunc(slices.Values(links), func(a, b Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	}))
}

func sortedModels(models []Model) []Model {
	models = sortedBy(models, func(m Model) string { return m.Name })
	for i := range models {
		models[i].Adapters = sortedBy(models[i].Adapters, func(a Adapter) string { return a.Name })
	}
	return nonNil(models)
}

func sortedCallers(callers []Caller) []Caller {
	callers = sortedBy(callers, func(c Caller) string { return c.Name })
	for i := range callers {
		caller := &callers[i]
		caller.KeySHA256 = nonNil(sortedStrings(caller.KeySHA256))
		caller.Models = nonNil(sortedStrings(caller.Models))
		caller.Services = nonNil(sortedStrings(caller.Services))
		caller.Pools = sortedStrings(caller.Pools)
		caller.Servers = sortedStrings(caller.Servers)
	}
	return nonNil(callers)
}
