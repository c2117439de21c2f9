package counter_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/balsamlock/balsamlock/counter"
)

// FuzzCompletionRequest sends arbitrary bodies. Each one is either answered or gets
// a 4xx error response that says that nothing was run and has a message. A body that
// gets an error must not reach an engine.
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
		api := newTestAPI()
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		w := api.do(http.MethodPost, path, studioKey, body)
		if w.Code == http.StatusOK {
			return
		}
		var errorBody counter.ErrorBody
		if err := json.Unmarshal(w.Body.Bytes(), &errorBody); err != nil {
			t.Fatalf("status %d with body %q: %v", w.Code, w.Body, err)
		}
		if errorBody.Error.Ran != counter.NotRun || errorBody.Error.Message == "" || w.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d: %+v", w.Code, errorBody.Error)
		}
		if api.generations > 0 {
			t.Fatalf("response has status %d, but the request was run", w.Code)
		}
	})
}
