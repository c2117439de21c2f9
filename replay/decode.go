package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
)

const (
	maxAtMS   = 24 * 3600 * 1000
	maxTokens = 1 << 20
)

// decodeEvent decodes and validates one line of a trace.
func decodeEvent(line []byte) (Event, error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	var e Event
	if err := decoder.Decode(&e); err != nil {
		return Event{}, err
	}
	return e, e.validate()
}

func (e Event) validate() error {
	switch {
	case e.ID == "" || e.Caller == "" || e.Class == "":
		return fmt.Errorf("event %q: id, caller and class are required", e.ID)
	case e.AtMS < 0 || e.AtMS > maxAtMS:
		return fmt.Errorf("event %s: at_ms %g: want a number from 0 to %d", e.ID, e.AtMS, maxAtMS)
	case e.CancelAfterMS < 0:
		return fmt.Errorf("event %s: cancel_after_ms %g: want a number of at least 0", e.ID, e.CancelAfterMS)
	case e.Class == ClassLookup:
		return e.validateLookup()
	case e.PromptTokens < 1 || e.PromptTokens > maxTokens:
		return fmt.Errorf("event %s: prompt_tokens %d: want a number from 1 to %d", e.ID, e.PromptTokens, maxTokens)
	case e.OutputTokens < 1 || e.OutputTokens > maxTokens:
		return fmt.Errorf("event %s: output_tokens %d: want a number from 1 to %d", e.ID, e.OutputTokens, maxTokens)
	case e.MaxTokens < e.OutputTokens:
		return fmt.Errorf("event %s: max_tokens %d: want at least output_tokens %d", e.ID, e.MaxTokens, e.OutputTokens)
	case e.PrefixTokens < 0 || e.PrefixTokens > e.PromptTokens:
		return fmt.Errorf("event %s: prefix_tokens %d: want a number from 0 to prompt_tokens %d", e.ID, e.PrefixTokens, e.PromptTokens)
	}
	return nil
}

func (e Event) validateLookup() error {
	if e.Service == "" || len(e.Path) == 0 || e.Path[0] != '/' {
		return fmt.Errorf("event %s: service and a path that starts with / are required", e.ID)
	}
	return nil
}
