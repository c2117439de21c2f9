package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// MaxBytes is the maximum size of an encoded document, in bytes.
const MaxBytes = 32 << 20

// Decode parses a document and validates it against the schema. It returns all
// findings together in an InvalidError.
func Decode(raw []byte) (Document, error) {
	if len(raw) > MaxBytes {
		return Document{}, newInvalidError(Finding{
			Path:    "(document)",
			Value:   fmt.Sprintf("%d bytes", len(raw)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxBytes),
		})
	}
	value, err := decodeValue(raw)
	if err != nil {
		return Document{}, err
	}
	if findings := schemaFindings(value); len(findings) > 0 {
		return Document{}, newInvalidError(findings...)
	}
	var document Document
	if err := json.Unmarshal(raw, &document); err != nil {
		return Document{}, newTypeError(raw, err)
	}
	return document, nil
}

// Validate decodes a document, validates it against the schema and runs the
// semantic checks. The document is valid only if there are no findings.
func Validate(raw []byte) (Document, []Finding) {
	document, err := Decode(raw)
	if err != nil {
		return document, FindingsOf(err)
	}
	return document, document.Check()
}

// Validate validates a document that was constructed in the program, against
// the schema and with the semantic checks.
func (d Document) Validate() []Finding {
	value, err := decodeValue(d.compact())
	if err != nil {
		return FindingsOf(err)
	}
	return sortFindings(append(schemaFindings(value), d.Check()...))
}

// Encode returns the document as JSON with the fields in declaration order,
// indented by two spaces, with a trailing newline.
func (d Document) Encode() []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	// A document consists of strings, numbers and lists, so encoding cannot fail.
	_ = encoder.Encode(d.withLists())
	return buffer.Bytes()
}

// compact returns the document as JSON on one line, for the log.
func (d Document) compact() []byte {
	// A document consists of strings, numbers and lists, so encoding cannot fail.
	raw, _ := json.Marshal(d.withLists())
	return raw
}

// decodeValue decodes exactly one JSON value and rejects objects with duplicate
// fields. Only an invalid document is parsed token by token, to locate the
// error.
func decodeValue(raw []byte) (any, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err == nil && countFields(value) == countColons(raw) {
		return value, nil
	}
	if syntaxErr := checkSyntax(raw); syntaxErr != nil {
		return nil, syntaxErr
	}
	if err != nil {
		return nil, newSyntaxError(raw, err)
	}
	return value, nil
}

// countFields returns the number of fields of all objects in a decoded value.
func countFields(value any) int {
	n := 0
	switch v := value.(type) {
	case map[string]any:
		n = len(v)
		for _, field := range v {
			n += countFields(field)
		}
	case []any:
		for _, item := range v {
			n += countFields(item)
		}
	}
	return n
}

// countColons counts the colons outside strings, which is the number of fields
// in the JSON source including duplicates.
func countColons(raw []byte) int {
	n := 0
	inString := false
	for i := 0; i < len(raw); i++ {
		switch {
		case raw[i] == '"':
			inString = !inString
		case inString && raw[i] == '\\':
			i++
		case !inString && raw[i] == ':':
			n++
		}
	}
	return n
}

// checkSyntax rejects input that is not exactly one JSON value and objects with
// duplicate fields.
func checkSyntax(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := walkValue(decoder, ""); err != nil {
		return newSyntaxError(raw, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return newInvalidError(Finding{
			Path:    "(end of document)",
			Value:   "trailing data",
			Allowed: "one JSON object",
		})
	}
	return nil
}

func walkValue(decoder *json.Decoder, path string) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return walkObject(decoder, path)
	case json.Delim('['):
		return walkArray(decoder, path)
	}
	return nil
}

func walkObject(decoder *json.Decoder, path string) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		field := joinField(path, name)
		if seen[name] {
			return newInvalidError(Finding{
				Path:    field,
				Value:   "duplicate field",
				Allowed: "each field once",
			})
		}
		seen[name] = true
		if err := walkValue(decoder, field); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

func walkArray(decoder *json.Decoder, path string) error {
	for i := 0; decoder.More(); i++ {
		if err := walkValue(decoder, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

func joinField(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func newSyntaxError(raw []byte, err error) error {
	if FindingsOf(err) != nil {
		return err
	}
	line := 1 + bytes.Count(raw, []byte("\n"))
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset := min(int(syntaxErr.Offset), len(raw))
		line = 1 + bytes.Count(raw[:offset], []byte("\n"))
	}
	return newInvalidError(Finding{
		Path:    fmt.Sprintf("(line %d)", line),
		Value:   err.Error(),
		Allowed: "JSON",
	})
}

func newTypeError(raw []byte, err error) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return newSyntaxError(raw, err)
	}
	return newInvalidError(Finding{
		Path:    typeErr.Field,
		Value:   typeErr.Value,
		Allowed: "a value of type " + typeErr.Type.String() + "; integers must be written without an exponent or fraction",
	})
}
