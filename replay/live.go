package replay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/receipt"
)

// LiveConfig configures a replay against a live entry instance.
type LiveConfig struct {
	// Entry is the IP:port of the entry instance's listener for callers.
	Entry string
	// Keys maps callers to bearer keys. The key of the empty name is used for
	// callers without one of their own.
	Keys map[string]string
	// Model and Service replace those of the trace if not empty.
	Model   string
	Service string
	// MaxConcurrent is the maximum number of concurrent requests.
	MaxConcurrent int
	// Timeout bounds the duration of one request.
	Timeout time.Duration
	// Client may be nil. A default client is then used.
	Client *http.Client
	// Progress is called after each request. It may be nil.
	Progress func(done, all int)
}

// Live replays a trace over HTTP, sending each request at its recorded time.
// Drafts are sent as ordinary generations. The answers are returned in the order
// of the events. If ctx is cancelled, the remaining events are not sent.
func Live(ctx context.Context, cfg LiveConfig, events []Event) []Answer {
	if cfg.Client == nil {
		cfg.Client = transport.NewClient()
	}
	l := &liveReplayer{
		cfg:    cfg,
		client: resty.NewWithClient(cfg.Client).SetBaseURL("http://" + cfg.Entry),
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	pool := pond.NewPool(cfg.MaxConcurrent, pond.WithContext(runCtx))
	answers := make([]Answer, len(events))
	started := time.Now()
	var requests sync.WaitGroup
	for i, e := range events {
		answers[i].Event = e
		if sleep(runCtx, time.Until(started.Add(e.At()))) != nil {
			break
		}
		requests.Add(1)
		err := pool.Go(func() {
			defer requests.Done()
			answers[i] = l.send(runCtx, e)
			l.progress(len(events))
		})
		if err != nil {
			requests.Done()
		}
	}
	requests.Wait()
	return answers
}

type liveReplayer struct {
	cfg    LiveConfig
	client *resty.Client
	mu     sync.Mutex
	done   int
}

func (l *liveReplayer) progress(total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done++
	if l.cfg.Progress != nil {
		l.cfg.Progress(l.done, total)
	}
}

func (l *liveReplayer) key(caller string) string {
	if key, ok := l.cfg.Keys[caller]; ok {
		return key
	}
	return l.cfg.Keys[""]
}

func (l *liveReplayer) send(ctx context.Context, e Event) Answer {
	timeout := l.cfg.Timeout
	if e.CancelAfterMS > 0 {
		timeout = min(timeout, milliseconds(e.CancelAfterMS))
	}
	requestCtx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	request := l.client.R().SetContext(requestCtx).SetAuthToken(l.key(e.Caller))
	answer := Answer{Event: e}
	var err error
	if e.Class == ClassLookup {
		err = l.lookup(request, &answer)
	} else {
		err = l.generate(request, &answer)
	}
	answer.Cancelled = e.CancelAfterMS > 0 && requestCtx.Err() != nil
	if err != nil && answer.Code == "" {
		answer.Code = receipt.CodeAnswerLost
	}
	return answer
}

func (l *liveReplayer) lookup(request *resty.Request, answer *Answer) error {
	service := answer.Event.Service
	if l.cfg.Service != "" {
		service = l.cfg.Service
	}
	started := time.Now()
	response, err := request.Get("/services/" + service + answer.Event.Path)
	if err != nil {
		return fmt.Errorf("lookup: %w", err)
	}
	answer.FirstToken = time.Since(started)
	answer.Complete = response.IsSuccess()
	answer.setCode(response.StatusCode())
	return nil
}

// setCode sets the code of an HTTP error status. Other statuses leave it empty.
func (a *Answer) setCode(status int) {
	if status >= http.StatusBadRequest {
		a.Code = receipt.Code(fmt.Sprintf("http_%d", status))
	}
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (l *liveReplayer) generate(request *resty.Request, answer *Answer) error {
	e := answer.Event
	body := completionRequest{
		Model:     e.Model,
		Prompt:    e.PromptText(),
		MaxTokens: e.MaxTokens,
		Stream:    true,
	}
	if l.cfg.Model != "" {
		body.Model = l.cfg.Model
	}
	timer := &tokenTimer{started: time.Now()}
	response, err := request.SetBody(body).SetDoNotParseResponse(true).Post("/v1/completions")
	if err != nil {
		return fmt.Errorf("completion: %w", err)
	}
	raw := response.RawBody()
	defer func() { _ = raw.Close() }()
	answer.setCode(response.StatusCode())
	if answer.Code != "" {
		return nil
	}
	answer.Complete, err = readStream(raw, timer)
	answer.FirstToken = timer.first
	answer.PerToken = timer.perToken()
	answer.Tokens = timer.tokens
	return err
}

var errTruncated = errors.New("stream ended without [DONE]")

// readStream records the tokens of a stream of server-sent events and reports
// whether the stream ended with [DONE].
func readStream(r io.Reader, timer *tokenTimer) (complete bool, err error) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case string(data) == "[DONE]":
			return true, nil
		case bytes.Contains(data, []byte(`"error"`)):
			return false, errTruncated
		case bytes.Contains(data, []byte(`"finish_reason":null`)):
			timer.record()
		}
	}
	if err := scanner.Err(); err != nil {
		return false, fmt.Errorf("completion: read: %w", err)
	}
	return false, errTruncated
}

// bytesPerToken is the mean length of a token's text in bytes.
const bytesPerToken = 4

// PromptText returns a prompt of the event's length. Prompts with the same
// prefix start with the same text. The [stop=N] suffix tells stand-in engines to
// stop after OutputTokens tokens.
func (e Event) PromptText() string {
	suffix := fmt.Sprintf(" %s [stop=%d]", e.ID, e.OutputTokens)
	length := max(0, e.PromptTokens*bytesPerToken-len(suffix))
	prefix := min(e.PrefixTokens*bytesPerToken, length)
	return repeatToLength(e.Prefix, prefix) + repeatToLength(e.ID, length-prefix) + suffix
}

func repeatToLength(text string, length int) string {
	if length <= 0 {
		return ""
	}
	word := text + " "
	return strings.Repeat(word, length/len(word)+1)[:length]
}
