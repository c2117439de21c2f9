// Package provenance implements log correlation for single requests. It reads the log
// lines of any number of instances, in any order and possibly incomplete, builds the
// timeline of one request and explains why the request ended as it did.
//
// # Usage
//
//	reader := provenance.NewReader("8c7081f7ce74a9e5")
//	if err := reader.Read("entry-1.log", file); err != nil {
//		return err
//	}
//	timeline := reader.Timeline()
//	fmt.Println(timeline.Cause())
package provenance

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/receipt"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one decoded log line. Fields that are absent from the line are zero.
type Line struct {
	At       time.Time     `json:"time"`
	Level    string        `json:"level"`
	Instance string        `json:"instance"`
	Event    event.Name    `json:"event"`
	ID       string        `json:"id"`
	Outcome  event.Outcome `json:"outcome"`
	Step     receipt.Step  `json:"step"`
	Code     receipt.Code  `json:"code"`
	Error    string        `json:"error"`
	Message  string        `json:"message"`
	Peer     string        `json:"peer"`
	Status   int           `json:"status"`

	Route       string   `json:"route"`
	Service     string   `json:"service"`
	Servers     []string `json:"servers"`
	TookMS      int64    `json:"took_ms"`
	LeftMS      int64    `json:"left_ms"`
	FirstMS     int64    `json:"first_ms"`
	ObjectiveMS int64    `json:"objective_ms"`
	Events      int      `json:"events"`
	// Configuration is the version of the configuration. KeyFault is why a key was refused.
	Configuration uint64 `json:"configuration"`
	KeyFault      string `json:"key_fault"`
	// Team is the team that sent the request. Held is what its instance held of the team's limit, AnswerAgeMS
	// the age of the last answer of the distributor, or -1 if there was none.
	Team        string  `json:"team"`
	Held        float64 `json:"held"`
	AnswerAgeMS int64   `json:"answer_age_ms"`

	Try        int    `json:"try"`
	Prefill    string `json:"prefill"`
	Decode     string `json:"decode"`
	Verdict    string `json:"verdict"`
	WaitedMS   int64  `json:"waited_ms"`
	ExpectedMS int64  `json:"expected_ms"`
	LoadAgeMS  int64  `json:"load_age_ms"`

	Waiting      int     `json:"waiting"`
	Late         int     `json:"late"`
	StartsPerS   float64 `json:"starts_per_s"`
	RetryAfterMS int64   `json:"retry_after_ms"`
	// Refusal is why the queue before a plain service refused a call.
	Refusal string `json:"cause"`

	Server     string `json:"server"`
	Address    string `json:"address"`
	State      string `json:"state"`
	Dependency string `json:"dependency"`
	ByMS       int64  `json:"by_ms"`
	Routine    int64  `json:"routine"`
	Kept       int64  `json:"kept"`

	// Raw is the JSON object of the line.
	Raw string `json:"-"`
	// seq is the position of the line in the order in which lines were read.
	seq int
}

// took returns the duration that the line reports.
func (l Line) took() time.Duration { return time.Duration(l.TookMS) * time.Millisecond }

// Reader collects the lines that are needed for the timeline of one request.
type Reader struct {
	id         string
	lines      []Line
	otherLines []Line
	unreadable int
	nextSeq    int
}

// NewReader returns a Reader for the request with the given id.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read reads one log. Lines without an instance name are attributed to source. Text
// before the JSON object of a line, such as a time added by a log collector, is skipped.
func (r *Reader) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		r.add(source, scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read %s: %w", source, err)
	}
	return nil
}

// add keeps a line if it carries the id of the request, or an event and no request id.
func (r *Reader) add(source string, raw []byte) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return
	}
	raw = raw[start:]
	hasID := bytes.Contains(raw, []byte(r.id))
	if !hasID && (bytes.Contains(raw, []byte(`"`+event.ID+`":`)) || !bytes.Contains(raw, []byte(`"`+event.Key+`":`))) {
		return
	}
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		r.unreadable++
		return
	}
	if line.Instance == "" {
		line.Instance = source
	}
	line.Raw = string(raw)
	line.seq = r.nextSeq
	r.nextSeq++
	switch line.ID {
	case r.id:
		r.lines = append(r.lines, line)
	case "":
		r.otherLines = append(r.otherLines, line)
	}
}

// Timeline returns the timeline of the request from the lines read so far.
func (r *Reader) Timeline() Timeline {
	timeline := Timeline{
		ID:         r.id,
		Lines:      slices.Clone(r.lines),
		Unreadable: r.unreadable,
	}
	slices.SortStableFunc(timeline.Lines, compareLines)
	timeline.otherLines = slices.Clone(r.otherLines)
	slices.SortStableFunc(timeline.otherLines, compareLines)
	for i := range timeline.Lines {
		if timeline.Lines[i].Event == event.Request {
			timeline.end = &timeline.Lines[i]
		}
	}
	return timeline
}

// compareLines orders lines by time. The times have a resolution of one millisecond, so
// lines of a request with equal times are ordered by the number of the try and then by
// event: the end of an attempt comes before the end of its request.
func compareLines(a, b Line) int {
	if c := a.At.Compare(b.At); c != 0 {
		return c
	}
	if a.ID != "" && b.ID != "" {
		if c := cmp.Or(cmp.Compare(tryNumber(a), tryNumber(b)), eventRank(a.Event)-eventRank(b.Event)); c != 0 {
			return c
		}
	}
	return a.seq - b.seq
}

// tryNumber returns the number of the try that a line belongs to. The lines that report the
// outcome of the request and the delivery of its response are ordered after all tries.
func tryNumber(line Line) int {
	if line.Event == event.Request || line.Event == event.Undelivered {
		return math.MaxInt
	}
	return line.Try
}

// eventRank returns the position of an event within one try.
func eventRank(name event.Name) int {
	order := []event.Name{event.Placed, event.Call, event.CallFailed, event.RetryRefused, event.Attempt, event.Request, event.Undelivered}
	return slices.Index(order, name)
}
