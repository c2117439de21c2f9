package counter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
)

// bufferedSink buffers the tokens until the answer is complete.
type bufferedSink struct {
	text  strings.Builder
	timer *tokenTimer
}

// Token buffers one token.
func (s *bufferedSink) Token(frame kiln.Frame) error {
	s.timer.recordToken()
	s.text.WriteString(frame.Text)
	return nil
}

// streamSink sends the tokens to the caller as server-sent events.
type streamSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// template holds the fields that all chunks have in common.
	template      completionBody
	chat          bool
	headerWritten bool
	timer         *tokenTimer
}

func newStreamSink(w http.ResponseWriter, template completionBody, chat bool, timer *tokenTimer) *streamSink {
	return &streamSink{
		w:          w,
		controller: http.NewResponseController(w),
		template:   template,
		chat:       chat,
		timer:      timer,
	}
}

// Token sends one token. The response header is sent with the first token, so that
// an error before it can still be reported with its own status.
func (s *streamSink) Token(frame kiln.Frame) error {
	s.timer.recordToken()
	return s.writeEvent(s.newChunk(frame.Text, ""))
}

func (s *streamSink) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) newChunk(text, finish string) completionBody {
	choice := completionChoice{}
	if finish != "" {
		choice.FinishReason = &finish
	}
	switch {
	case s.chat && s.headerWritten:
		choice.Delta = &replyMessage{Content: text}
	case s.chat:
		choice.Delta = &replyMessage{
			Role:    "assistant",
			Content: text,
		}
	default:
		choice.Text = &text
	}
	body := s.template
	body.Choices = []completionChoice{choice}
	return body
}

func (s *streamSink) writeEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("deliver: encode event: %w", err)
	}
	return s.writeData(raw)
}

func (s *streamSink) writeData(raw []byte) error {
	s.writeHeader()
	event := make([]byte, 0, len(raw)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, raw...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return fmt.Errorf("deliver: write event: %w", err)
	}
	if err := s.controller.Flush(); err != nil {
		return fmt.Errorf("deliver: flush event: %w", err)
	}
	return nil
}

// finishStream ends a complete stream. It sends the usage chunk if total is not
// nil, and the [DONE] marker.
func (s *streamSink) finishStream(reason string, total *usage) error {
	if err := s.writeEvent(s.newChunk("", reason)); err != nil {
		return err
	}
	if total != nil {
		body := s.template
		body.Choices = []completionChoice{}
		body.Usage = total
		if err := s.writeEvent(body); err != nil {
			return err
		}
	}
	return s.writeData([]byte("[DONE]"))
}

// tokenTimer records the token latencies of one answer in the metrics.
type tokenTimer struct {
	metrics    *metrics.Metrics
	caller     string
	class      string
	receivedAt time.Time
	firstToken time.Time
	lastToken  time.Time
	tokens     int
}

func (t *tokenTimer) recordToken() {
	now := time.Now()
	if t.tokens == 0 {
		t.firstToken = now
		t.metrics.Observe(metrics.TimeToFirstToken, t.caller, t.class, now.Sub(t.receivedAt))
	}
	t.tokens++
	t.lastToken = now
}

// recordMeanInterval records the mean time between tokens as the caller sees it. An
// answer with fewer than two tokens has none.
func (t *tokenTimer) recordMeanInterval() {
	const minTokens = 2
	if t.tokens < minTokens {
		return
	}
	t.metrics.Observe(metrics.TimePerToken, t.caller, t.class, t.lastToken.Sub(t.firstToken)/time.Duration(t.tokens-1))
}

var (
	_ firing.Sink = (*bufferedSink)(nil)
	_ firing.Sink = (*streamSink)(nil)
)
