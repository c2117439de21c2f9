// Package provenance puts the log lines about one request together again: it
// reads the lines of any number of instances, in any order and with some missing,
// and tells the request's life and why it ended as it did.
//
// # Usage
//
//	reader := provenance.NewReader("8c7081f7ce74a9e5")
//	if err := reader.Read("entry-1.log", file); err != nil {
//		return err
//	}
//	life := reader.Life()
//	fmt.Println(life.Cause())
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

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Line is one line of a log. Fields that a line lacks are zero.
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

	Server     string `json:"server"`
	Address    string `json:"address"`
	State      string `json:"state"`
	Dependency string `json:"dependency"`
	ByMS       int64  `json:"by_ms"`
	Routine    int64  `json:"routine"`
	Kept       int64  `json:"kept"`

	// Raw is the line as it was written.
	Raw string `json:"-"`
	// order is the place of the line among those read.
	order int
}

// took returns the time that the line reports.
func (l Line) took() time.Duration { return time.Duration(l.TookMS) * time.Millisecond }

// Reader collects the lines that may matter to one request.
type Reader struct {
	id    string
	own   []Line
	other []Line
	// torn counts lines that can't be read.
	torn int
	read int
}

// NewReader returns a reader for the request with an id.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read reads one log. Lines without the name of an instance are taken as lines of
// the source. What stands before a line's object, such as a time that a collector
// added, is skipped.
func (r *Reader) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		r.take(source, scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read %s: %w", source, err)
	}
	return nil
}

// take keeps a line if it may matter.
func (r *Reader) take(source string, raw []byte) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return
	}
	raw = raw[at:]
	own := bytes.Contains(raw, []byte(r.id))
	if !own && (bytes.Contains(raw, []byte(`"`+event.ID+`":`)) || !bytes.Contains(raw, []byte(`"`+event.Key+`":`))) {
		return
	}
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		r.torn++
		return
	}
	if line.Instance == "" {
		line.Instance = source
	}
	line.Raw = string(raw)
	line.order = r.read
	r.read++
	switch line.ID {
	case r.id:
		r.own = append(r.own, line)
	case "":
		r.other = append(r.other, line)
	}
}

// Timeline returns what the lines read so far tell of the request.
func (r *Reader) Timeline() Timeline {
	life := Timeline{
		ID:   r.id,
		Own:  slices.Clone(r.own),
		Torn: r.torn,
	}
	slices.SortStableFunc(life.Own, inOrder)
	life.around = slices.Clone(r.other)
	slices.SortStableFunc(life.around, inOrder)
	for i := range life.Own {
		if life.Own[i].Event == event.Request {
			life.end = &life.Own[i]
		}
	}
	return life
}

// inOrder orders lines by time, and lines of the same millisecond by what they
// report: a try comes before the next one, and the end of an attempt before that of
// its request.
func inOrder(a, b Line) int {
	if c := a.At.Compare(b.At); c != 0 {
		return c
	}
	if a.ID != "" && b.ID != "" {
		if c := cmp.Or(cmp.Compare(tryOf(a), tryOf(b)), rank(a.Event)-rank(b.Event)); c != 0 {
			return c
		}
	}
	return a.order - b.order
}

// tryOf returns the number of a line's try; the end of a request follows all.
func tryOf(line Line) int {
	if line.Event == event.Request {
		return math.MaxInt
	}
	return line.Try
}

func rank(name event.Name) int {
	order := []event.Name{event.Placed, event.Call, event.CallFailed, event.RetryRefused, event.Attempt, event.Request}
	return slices.Index(order, name)
}
