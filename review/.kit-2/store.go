package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics with one partition and groups.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
}

// topic holds all records; the history is longer than any run.
type topic struct {
	records [][]byte
	newest  map[string]int
}

// group deals out its partitions in the order in which its members joined.
type group struct {
	generation int
	members    []string
	until      map[string]time.Time
}

const partitions = 8

func startStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{
		address: l.Addr().String(),
		topics:  map[string]*topic{},
		groups:  map[string]*group{},
		changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) topicLocked(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record, as the operator or a server does. Without a value, the key is dropped.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(topicName, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) putLocked(topicName string, content []byte) {
	t := s.topicLocked(topicName)
	n := int(content[0])
	key := string(content[1 : 1+n])
	t.newest[key] = len(t.records)
	if len(content) == 1+n {
		delete(t.newest, key)
	}
	t.records = append(t.records, content)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/api/") {
	case "log-newest":
		s.newest(w, r)
	case "log-read":
		s.read(w, r)
	case "log-append":
		s.append(w, r, body)
	case "log-join":
		s.join(w, body)
	case "log-leave":
		s.leave(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topicLocked(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys {
		content := t.records[t.newest[key]]
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString(content[1+len(key):]),
			"offset": t.newest[key],
		})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	maxKB, err := strconv.Atoi(q.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for waiting := waitMS > 0; ; {
		s.mu.Lock()
		t := s.topicLocked(q.Get("topic"))
		changed := s.changed
		if len(t.records) > from || !waiting {
			raw := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for n := from; n < len(t.records); n++ {
				content := t.records[n]
				if n > from && len(raw)+len(content) > maxKB<<10 {
					break
				}
				raw = binary.BigEndian.AppendUint32(raw, uint32(len(content)))
				raw = append(raw, content...)
			}
			s.mu.Unlock()
			_, _ = w.Write(raw)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	name := r.URL.Query().Get("topic")
	t := s.topicLocked(name)
	first := len(t.records)
	if revision := r.URL.Query().Get("store-revision"); revision != "" && revision != strconv.Itoa(first) {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": first})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.putLocked(name, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"offset": first, "end": end})
}

func (s *store) groupLocked(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{until: map[string]time.Time{}}
		s.groups[name] = g
	}
	now := time.Now()
	before := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m string) bool { return g.until[m].Before(now) })
	if len(g.members) != before {
		g.generation++
	}
	return g
}

type groupCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMS  int      `json:"ttl-ms"`
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var call groupCall
	if json.Unmarshal(body, &call) != nil || len(call.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.groupLocked(call.Group)
	if !slices.Contains(g.members, call.Member) {
		g.members = append(g.members, call.Member)
		g.generation++
	}
	g.until[call.Member] = time.Now().Add(time.Duration(call.TTLMS) * time.Millisecond)
	rows := [][]any{}
	for partition := range partitions {
		if g.members[partition%len(g.members)] == call.Member {
			rows = append(rows, []any{call.Topics[0], partition, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"generation": generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var call groupCall
	_ = json.Unmarshal(body, &call)
	s.mu.Lock()
	g := s.groupLocked(call.Group)
	g.members = slices.DeleteFunc(g.members, func(m string) bool { return m == call.Member })
	g.generation++
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}
