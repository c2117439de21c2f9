package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"
)

// response is the response that a caller received, or the error of the request.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (s *system) send(ctx context.Context, method, url, key string, header map[string]string, body string) response {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		// Set without canonicalization: the client must not retry requests with an
		// idempotency key by itself.
		r.Header[name] = []string{value}
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode,
		header: resp.Header,
		body:   raw,
		err:    err,
	}
}

func (s *system) url(name, path string) string { return "http://" + s.entries[name].cfg.Listen + path }

// complete requests a completion. It returns the text, or "" if the stream is
// incomplete.
func (s *system) complete(ctx context.Context, name, key, prompt string, maxTokens int) (string, response) {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"prompt":     prompt,
		"max_tokens": maxTokens,
		"stream":     true,
	})
	s.c.Assert(err, qt.IsNil)
	resp := s.send(ctx, http.MethodPost, s.url(name, "/v1/completions"), key, nil, string(body))
	return streamText(resp.body), resp
}

// streamText returns the text of a completion stream, or "" if the stream is
// incomplete.
func streamText(raw []byte) string {
	var text strings.Builder
	isComplete := false
	for event := range bytes.SplitSeq(raw, []byte("\n\n")) {
		data, _ := bytes.CutPrefix(event, []byte("data: "))
		if string(data) == "[DONE]" {
			isComplete = true
			continue
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	if !isComplete {
		return ""
	}
	return text.String()
}
