package console

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"

	"github.com/balsamlock/balsamlock/plan"
)

// A draft is a document that an operator is editing. The forms carry it as a
// hidden field, so any console can handle the next request.

// maxFormBytes is the maximum size of a submitted form.
const maxFormBytes = 16 << 20

func encodeDraft(document plan.Document) (string, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(document.Encode()); err != nil {
		return "", fmt.Errorf("encode draft: %w", err)
	}
	if err := w.Close(); err != nil {
		return "", fmt.Errorf("encode draft: %w", err)
	}
	return base64.StdEncoding.EncodeToString(buffer.Bytes()), nil
}

func decodeDraft(text string) (plan.Document, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return plan.Document{}, fmt.Errorf("decode draft: %w", err)
	}
	r, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return plan.Document{}, fmt.Errorf("decode draft: %w", err)
	}
	raw, err = io.ReadAll(io.LimitReader(r, plan.MaxBytes+1))
	if err != nil {
		return plan.Document{}, fmt.Errorf("decode draft: %w", err)
	}
	document, err := plan.Decode(raw)
	if err != nil {
		return plan.Document{}, fmt.Errorf("decode draft: %w", err)
	}
	return document, nil
}

// entry holds one entry of a list of the document by the names of its JSON
// fields. It can hold invalid values from a form, which a plan type could not.
type entry map[string]any

// jsonDocument holds a document by the names of its JSON fields.
type jsonDocument map[string]any

func newJSONDocument(document plan.Document) jsonDocument {
	decoder := json.NewDecoder(bytes.NewReader(document.Encode()))
	decoder.UseNumber()
	var d jsonDocument
	// The error is ignored because an encoded document is always a JSON object.
	_ = decoder.Decode(&d)
	return d
}

func (d jsonDocument) list(name string) []any {
	list, _ := d[name].([]any)
	return list
}

func (d jsonDocument) entry(name string, index int) entry {
	list := d.list(name)
	if index < 0 || index >= len(list) {
		return entry{}
	}
	e, _ := list[index].(map[string]any)
	return e
}

// put replaces the entry at index, or appends e if the list is shorter.
func (d jsonDocument) put(name string, index int, e entry) {
	list := d.list(name)
	if index < len(list) {
		list[index] = map[string]any(e)
		return
	}
	d[name] = append(list, map[string]any(e))
}

func (d jsonDocument) remove(name string, index int) {
	list := d.list(name)
	if index >= 0 && index < len(list) {
		d[name] = append(list[:index:index], list[index+1:]...)
	}
}

func (d jsonDocument) document() (plan.Document, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return plan.Document{}, fmt.Errorf("encode draft: %w", err)
	}
	return plan.Decode(raw)
}
