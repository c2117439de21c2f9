package replay_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/replay"
)

// serveEntry answers completions with three tokens. Streams of prompts that
// contain "truncated" end without [DONE].
func serveEntry(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer secret" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/services/desk/") {
		return
	}
	var body struct {
		Prompt string `json:"prompt"`
		Stream bool   `json:"stream"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || !body.Stream {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for range 3 {
		_, _ = fmt.Fprint(w, `data: {"choices":[{"text":" a","finish_reason":null}]}`, "\n\n")
	}
	if !strings.Contains(body.Prompt, "truncated") {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func TestLiveReplaysOverHTTP(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(serveEntry))
	defer server.Close()
	generation := func(id, caller string) replay.Event {
		return replay.Event{
			ID:           id,
			Caller:       caller,
			Class:        "completion",
			PromptTokens: 100,
			OutputTokens: 3,
			MaxTokens:    3,
		}
	}
	answers := replay.Live(c.Context(), replay.LiveConfig{
		Entry: strings.TrimPrefix(server.URL, "http://"),
		Keys: map[string]string{
			"":             "secret",
			"unauthorized": "wrong",
		},
		MaxConcurrent: 4,
		Timeout:       10 * time.Second,
	}, []replay.Event{
		generation("a", "studio"),
		generation("truncated", "studio"),
		generation("b", "unauthorized"),
		{
			ID:      "lookup",
			Caller:  "studio",
			Class:   replay.ClassLookup,
			Service: "desk",
			Path:    "/panels/7",
		},
	})
	c.Assert(answers[0].Complete, qt.IsTrue)
	c.Assert(answers[0].Tokens, qt.Equals, 3)
	c.Assert(answers[1].Complete, qt.IsFalse)
	c.Assert(string(answers[1].Code), qt.Equals, "answer_lost")
	c.Assert(string(answers[2].Code), qt.Equals, "http_401")
	c.Assert(answers[3].Complete, qt.IsTrue)
	summaries := replay.Summarize(answers)
	c.Assert(summaries, qt.HasLen, 3)
	c.Assert(summaries[1].Offered, qt.Equals, 2)
	c.Assert(summaries[1].Complete, qt.Equals, 1)
}

func TestPromptTextHasLengthAndSharedPrefix(t *testing.T) {
	c := qt.New(t)
	event := replay.Event{
		ID:           "a",
		Prefix:       "template",
		PrefixTokens: 600,
		PromptTokens: 1000,
		OutputTokens: 7,
	}
	other := event
	other.ID = "b"
	c.Assert(len(event.PromptText()), qt.Equals, 4000)
	c.Assert(event.PromptText()[:2400], qt.Equals, other.PromptText()[:2400])
	c.Assert(event.PromptText(), qt.Not(qt.Equals), other.PromptText())
	c.Assert(strings.HasSuffix(event.PromptText(), "[stop=7]"), qt.IsTrue)
}
