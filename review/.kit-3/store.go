package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partition is one partition of a topic.
type partition struct {
	records [][]byte
	// first is the offset of the first retained record.
	first uint64
	// newest maps keys to the offset and the value of their newest records.
	newest map[string]keyed
	// changed is closed and replaced with each append.
	changed chan struct{}
}

type keyed struct {
	offset uint64
	value  []byte
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

// group is a consumer group. Members lapse after their lifetime. The partitions are dealt evenly in the order of the
// members' names.
type group struct {
	generation uint64
	members    map[string]time.Time
	topics     []string
	// owners are the members that hold the partitions. One that is to be another's stays with its owner until that has
	// been told, and has joined with the generation since which it isn't listed any more.
	owners [partsPerTopic]string
}

// due returns the member that a partition is dealt to.
func (g *group) due(n int) string {
	var names []string
	for member := range g.members {
		names = append(names, member)
	}
	if len(names) == 0 {
		return ""
	}
	sort.Strings(names)
	return names[n%len(names)]
}

// expire removes the members whose lifetime is over.
func (g *group) expire(now time.Time) {
	for member, until := range g.members {
		if now.After(until) {
			g.remove(member)
		}
	}
}

func (g *group) remove(member string) {
	if _, known := g.members[member]; known {
		delete(g.members, member)
		g.generation++
	}
}

// deal passes on the partitions of members that are gone, and those that a member has given up by joining with the
// current generation. It returns the partitions that the member holds.
func (g *group) deal(member string, generation uint64) []int {
	var held []int
	for n := range g.owners {
		_, alive := g.members[g.owners[n]]
		if !alive || g.owners[n] == member && generation >= g.generation {
			g.owners[n] = g.due(n)
		}
		if g.owners[n] == member && g.due(n) == member {
			held = append(held, n)
		}
	}
	return held
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu     sync.Mutex
	parts  map[string]*partition
	groups map[string]*group
	// down makes all calls fail with 503.
	down bool
	// reads counts the calls that read.
	calls map[string]int
	addr  string
}

const partsPerTopic = 8

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		parts:  map[string]*partition{},
		groups: map[string]*group{},
		calls:  map[string]int{},
		addr:   l.Addr().String(),
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

func (s *store) part(topic, part string) *partition {
	name := topic + "/" + part
	p, ok := s.parts[name]
	if !ok {
		p = &partition{newest: map[string]keyed{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// put appends a record with a key, as the operator and the workers do. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, s.part(topic, "0"), encodeKeyed(key, value))
}

func encodeKeyed(key string, value []byte) []byte {
	record := append([]byte{byte(len(key))}, key...)
	return append(record, value...)
}

func (s *store) appendLocked(topic string, p *partition, record []byte) {
	offset := p.end()
	p.records = append(p.records, record)
	if strings.HasPrefix(topic, "keyed.") && len(record) > 0 && len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = keyed{offset: offset, value: value}
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	down := s.down
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, r)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.newest(w, r)
	case "/api/log-join":
		s.join(w, r)
	case "/api/log-leave":
		s.leave(w, r)
	case "/api/log-trim", "/api/log-commit":
		reply(w, 200, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, partOf(q.Get("part")))
	if at := q.Get("store-revision"); at != "" && at != strconv.FormatUint(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	offset := p.end()
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		s.appendLocked(topic, p, raw[4:4+n])
		raw = raw[4+n:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

func partOf(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	maxKB, err := strconv.Atoi(q.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), partOf(q.Get("part")))
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if p.end() > from || waitMS <= 0 {
			raw := binary.BigEndian.AppendUint64(nil, p.end())
			raw = binary.BigEndian.AppendUint64(raw, p.first)
			for n := from; n < p.end(); n++ {
				record := p.records[n-p.first]
				if n > from && len(raw)+len(record) > maxKB<<10 {
					break
				}
				raw = binary.BigEndian.AppendUint32(raw, uint32(len(record)))
				raw = append(raw, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(raw)
			return
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), partOf(q.Get("part")))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	items := []item{}
	for key, k := range p.newest {
		if after := q.Get("after"); after == "" || key > after {
			items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(k.value), Offset: k.offset})
		}
	}
	end := p.end()
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end": end})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTLMS      int      `json:"ttl-ms"`
		Generation uint64   `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[body.Group]
	if !ok {
		g = &group{members: map[string]time.Time{}}
		s.groups[body.Group] = g
	}
	now := time.Now()
	g.expire(now)
	if _, known := g.members[body.Member]; !known {
		g.generation++
	}
	g.members[body.Member] = now.Add(time.Duration(body.TTLMS) * time.Millisecond)
	g.topics = body.Topics
	rows := [][]any{}
	for _, n := range g.deal(body.Member, body.Generation) {
		for _, topic := range g.topics {
			rows = append(rows, []any{topic, n, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl-ms": body.TTLMS, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	if g, ok := s.groups[body.Group]; ok {
		g.remove(body.Member)
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}
