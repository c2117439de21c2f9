package counter

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/balsamlock/balsamlock/kiln"
)

// defaultMaxTokens is the output limit of a request without max_tokens. The
// model's own limit applies if it is lower.
const defaultMaxTokens = 256

// maxTemperature is the highest sampling temperature that callers may set.
const maxTemperature = 2.0

// completionRequest is the supported subset of the completions and chat
// completions requests. A request is rejected if it sets an unsupported field that
// would change the answer. Unknown fields are ignored, as clients expect.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Suffix              string          `json:"suffix"`
	Stop                json.RawMessage `json:"stop"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	ResponseFormat      json.RawMessage `json:"response_format"`
	LogProbs            json.RawMessage `json:"logprobs"`
	LogitBias           json.RawMessage `json:"logit_bias"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// generationRequest is a validated completion or chat completion request.
type generationRequest struct {
	Model  string
	Prompt string
	// MaxTokens is 0 if the request doesn't set it.
	MaxTokens    int
	Stream       bool
	IncludeUsage bool
	Chat         bool
	Sampling     kiln.Sampling
}

func decodeGenerationRequest(raw []byte, chat bool) (generationRequest, error) {
	var req completionRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return generationRequest{}, fmt.Errorf("body is not a completion request: %w", err)
	}
	if err := req.checkSupported(); err != nil {
		return generationRequest{}, err
	}
	if err := req.checkSampling(); err != nil {
		return generationRequest{}, err
	}
	if req.Model == "" {
		return generationRequest{}, errors.New("field model: a model's name is required")
	}
	prompt, err := req.promptText(chat)
	if err != nil {
		return generationRequest{}, err
	}
	maxTokens, err := req.maxTokens()
	if err != nil {
		return generationRequest{}, err
	}
	return generationRequest{
		Model:        req.Model,
		Prompt:       prompt,
		MaxTokens:    maxTokens,
		Stream:       req.Stream,
		IncludeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage,
		Chat:         chat,
		Sampling: kiln.Sampling{
			Temperature: req.Temperature,
			TopP:        req.TopP,
			Seed:        req.Seed,
		},
	}, nil
}

func (req completionRequest) checkSupported() error {
	unsupported := map[string]bool{
		"n":               req.N != nil && *req.N != 1,
		"best_of":         req.BestOf != nil && *req.BestOf != 1,
		"echo":            req.Echo,
		"suffix":          req.Suffix != "",
		"stop":            isSet(req.Stop),
		"tools":           isSet(req.Tools),
		"functions":       isSet(req.Functions),
		"response_format": isSet(req.ResponseFormat),
		"logprobs":        isSet(req.LogProbs) && string(req.LogProbs) != "false",
		"logit_bias":      isSet(req.LogitBias) && string(req.LogitBias) != "{}",
	}
	for field, found := range unsupported {
		if found {
			return fmt.Errorf("field %s: not supported", field)
		}
	}
	return nil
}

// checkSampling validates the sampling parameters, which are passed to the
// engines unchanged.
func (req completionRequest) checkSampling() error {
	if t := req.Temperature; t != nil && (*t < 0 || *t > maxTemperature) {
		return fmt.Errorf("field temperature: value %g: want 0 to %g", *t, maxTemperature)
	}
	if p := req.TopP; p != nil && (*p <= 0 || *p > 1) {
		return fmt.Errorf("field top_p: value %g: want more than 0 and at most 1", *p)
	}
	return nil
}

func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && string(raw) != "null" && string(raw) != "[]"
}

func (req completionRequest) maxTokens() (int, error) {
	n := req.MaxTokens
	if req.MaxCompletionTokens != nil {
		n = req.MaxCompletionTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n < 1 {
		return 0, fmt.Errorf("field max_tokens: value %d: want 1 or more", *n)
	}
	return *n, nil
}

func (req completionRequest) promptText(chat bool) (string, error) {
	if chat {
		return renderMessages(req.Messages)
	}
	var prompt string
	if err := json.Unmarshal(req.Prompt, &prompt); err != nil || prompt == "" {
		return "", errors.New("field prompt: a text that is not empty is required")
	}
	return prompt, nil
}

func renderMessages(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", errors.New("field messages: at least one message is required")
	}
	var b strings.Builder
	for i, message := range messages {
		switch message.Role {
		case "system", "developer", "user", "assistant":
		default:
			return "", fmt.Errorf("field messages[%d].role: value %q: want system, developer, user or assistant", i, message.Role)
		}
		content, err := message.text()
		if err != nil {
			return "", fmt.Errorf("field messages[%d].content: %w", i, err)
		}
		b.WriteString(message.Role)
		b.WriteString(": ")
		b.WriteString(content)
		b.WriteString("\n")
	}
	b.WriteString("assistant: ")
	return b.String(), nil
}

func (m chatMessage) text() (string, error) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("want a text or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("part of type %q is not supported: want text", part.Type)
		}
		b.WriteString(part.Text)
	}
	return b.String(), nil
}

// completionBody is the response body of a completion, or one chunk of a stream.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *replyMessage `json:"message,omitempty"`
	Delta        *replyMessage `json:"delta,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type replyMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(promptTokens, completionTokens int) *usage {
	return &usage{
		PromptTokens:     promptTokens,
		CompletionTokens: completionTokens,
		TotalTokens:      promptTokens + completionTokens,
	}
}
