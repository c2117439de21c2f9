package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	storeParts    = 8
	itemsPerPage  = 500
	appendTime    = 4 * time.Millisecond
)

// store is a stand-in for the platform's metadata store. It keeps all records and loses nothing.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
}

// topic is one partition of a topic.
type topic struct {
	records [][]byte
	// newest maps the keys of a keyed topic to the offsets of their newest records.
	newest map[string]int
}

// group deals its partitions out to its members, in the order in which they joined.
type group struct {
	generation int
	members    []string
	until      map[string]time.Time
}

func newStore() *store {
	return &store{
		topics:  map[string]*topic{},
		groups:  map[string]*group{},
		changed: make(chan struct{}),
	}
}

func (s *store) topicLocked(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]int{}}
	}
	return s.topics[name]
}

// put appends a record of a keyed topic. Without a value, the key is dropped.
func (s *store) put(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(name, append(content, value...))
}

func (s *store) appendLocked(name string, content []byte) {
	t := s.topicLocked(name)
	if strings.HasPrefix(name, "keyed.") {
		key := string(content[1 : 1+int(content[0])])
		if len(content) > 1+len(key) {
			t.newest[key] = len(t.records)
		} else {
			delete(t.newest, key)
		}
	}
	t.records = append(t.records, content)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(name, key string, value any) {
	raw, _ := json.Marshal(value)
	s.put(name, key, raw)
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch strings.TrimPrefix(r.URL.Path, "/api/") {
	case "log-newest":
		s.serveNewest(w, r)
	case "log-read":
		s.serveRead(w, r)
	case "log-append":
		s.serveAppend(w, r)
	case "log-join":
		s.serveJoin(w, r)
	case "log-leave":
		s.serveLeave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topicLocked(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if after != "" && key <= after {
			continue
		}
		if len(items) == itemsPerPage {
			more = true
			break
		}
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString(t.records[t.newest[key]][1+len(key):]),
			"offset": t.newest[key],
		})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, map[string]any{
		"items":    items,
		"has-more": more,
		"end":      end,
	})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	maxKB, err := strconv.Atoi(query.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topicLocked(query.Get("topic"))
		changed := s.changed
		records := t.records[min(from, len(t.records)):]
		end := len(t.records)
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			raw := binary.BigEndian.AppendUint64(nil, uint64(end))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for n, record := range records {
				if n > 0 && len(raw)+len(record) > maxKB<<10 {
					break
				}
				raw = binary.BigEndian.AppendUint32(raw, uint32(len(record)))
				raw = append(raw, record...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	query := r.URL.Query()
	if name := query.Get("topic"); name == topicOperator || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	t := s.topicLocked(query.Get("topic"))
	offset := len(t.records)
	if revision := query.Get("store-revision"); revision != "" && revision != strconv.Itoa(offset) {
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end": offset})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.appendLocked(query.Get("topic"), slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, map[string]any{
		"offset": offset,
		"end":    end,
	})
}

func (s *store) groupLocked(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{until: map[string]time.Time{}}
	}
	return s.groups[name]
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Group  string   `json:"group"`
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMS  int      `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || len(req.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	g := s.groupLocked(req.Group)
	before := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m string) bool { return g.until[m].Before(now) })
	if !slices.Contains(g.members, req.Member) {
		g.members = append(g.members, req.Member)
		g.generation++
	} else if len(g.members) != before {
		g.generation++
	}
	g.until[req.Member] = now.Add(time.Duration(req.TTLMS) * time.Millisecond)
	at := slices.Index(g.members, req.Member)
	rows := [][]any{}
	for part := range storeParts {
		if part%len(g.members) == at {
			rows = append(rows, []any{req.Topics[0], part, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	writeJSON(w, map[string]any{
		"generation": generation,
		"ttl-ms":     req.TTLMS,
		"parts":      rows,
	})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&req)
	s.mu.Lock()
	g := s.groupLocked(req.Group)
	g.members = slices.DeleteFunc(g.members, func(m string) bool { return m == req.Member })
	g.generation++
	s.mu.Unlock()
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
