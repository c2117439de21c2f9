package counter_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/balsamlock/balsamlock/counter"
)

// FuzzCompletionRequest sends arbitrary bodies: each is answered or refused as
// not run with a reason, and a refused one reaches no engine.
func FuzzCompletionRequest(f *testing.F) {
	for _, body := range []string{
		`{"model":"draft-7b","prompt":"a"}`,
		`{"model":"draft-7b","messages":[{"role":"user","content":"a"}]}`,
		`{"model":"draft-7b","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":true}`,
		`{"model":"draft-7b","prompt":["a"]}`,
		`{"model":"draft-7b","prompt":"a","max_tokens":-1}`,
		`{"model":"draft-7b","prompt":"a","max_tokens":1e99}`,
		`{"model":null,"prompt":null}`,
		`[]`, `"`, ``, `{"model":"draft-7b","prompt":"\ud800"}`,
	} {
		f.Add(body, true)
		f.Add(body, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		s := newSite()
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		w := s.do(http.MethodPost, path, studioKey, body)
		if w.Code == http.StatusOK {
			return
		}
		var refusal counter.ErrorBody
		if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil {
			t.Fatalf("status %d with body %q: %v", w.Code, w.Body, err)
		}
		if refusal.Error.Ran != counter.NotRun || refusal.Error.Message == "" || w.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d: %+v", w.Code, refusal.Error)
		}
		if s.generated > 0 {
			t.Fatalf("refused with %d and generated", w.Code)
		}
	})
}
