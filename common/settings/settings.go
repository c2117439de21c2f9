// Package settings implements loading and validation of JSON settings files.
//
// Unknown fields are rejected. Every error names the file, the field, its value and
// what is allowed.
//
// # Usage
//
//	cfg := entry.DefaultConfig()
//	if err := settings.Load("entry.json", &cfg); err != nil {
//		return err
//	}
//
// A Config that implements Checker is validated after it has been decoded. The error
// lists all invalid fields, not only the first.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// Problem describes an invalid field.
type Problem struct {
	// File is the settings file. It is set by Load and Decode.
	File string `json:"file,omitempty"`
	// Field is the path of the field, such as "peers[0].address".
	Field string `json:"field"`
	// Value is the invalid value. It never contains a key or a secret.
	Value string `json:"value"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
	// endsEarly is set if the file contains only the beginning of an object, or nothing.
	endsEarly bool
}

// ErrIncomplete matches the error for a file that ends early, as while it is written.
var ErrIncomplete = errors.New("file ends early")

// Is makes the problem of a file that ends early match ErrIncomplete.
func (p Problem) Is(target error) bool { return p.endsEarly && target == ErrIncomplete }

// Error returns the problem as one line of text.
func (p Problem) Error() string {
	return fmt.Sprintf("settings %s: field %s: value %s is not allowed: want %s", p.File, p.Field, p.Value, p.Allowed)
}

// Problems collects the invalid fields of a Config. The zero value is ready to use.
type Problems struct {
	list *[]Problem
	path string
}

// In returns a collector for the Config that is nested in a field. Its problems are added
// to the list of p, and their paths start with the field.
func (p *Problems) In(field string) *Problems {
	return &Problems{
		list: p.sharedList(),
		path: p.path + field + ".",
	}
}

func (p *Problems) sharedList() *[]Problem {
	if p.list == nil {
		p.list = &[]Problem{}
	}
	return p.list
}

// Add records a problem if ok is false.
func (p *Problems) Add(ok bool, field string, value any, allowed string) {
	if ok {
		return
	}
	list := p.sharedList()
	*list = append(*list, Problem{
		Field:   p.path + field,
		Value:   fmt.Sprintf("%q", fmt.Sprint(value)),
		Allowed: allowed,
	})
}

// IPPort records a problem if value isn't an IP address with a port.
func (p *Problems) IPPort(field, value string) {
	p.Add(IsIPPort(value), field, value, "IP:port, such as 127.0.0.1:8080; host names are not looked up")
}

// Positive records a problem if value isn't greater than zero.
func (p *Problems) Positive(field string, value int) {
	p.Add(value > 0, field, value, "a whole number greater than 0")
}

// Required records a problem if value is empty.
func (p *Problems) Required(field, value string) {
	p.Add(value != "", field, value, "a text that is not empty")
}

// Secret records a problem if value is shorter than minSecretBytes. The problem contains
// the length of the value instead of the value.
func (p *Problems) Secret(field, value string) {
	const minSecretBytes = 16
	p.Add(len(value) >= minSecretBytes, field, fmt.Sprintf("<%d bytes>", len(value)), fmt.Sprintf("at least %d bytes", minSecretBytes))
}

// List returns the recorded problems.
func (p *Problems) List() []Problem { return *p.sharedList() }

// Checker is implemented by a Config that validates its values. Check records a problem
// in p for each invalid field.
type Checker interface{ Check(p *Problems) }

// IsIPPort reports whether value is an IP address with a port greater than 0.
func IsIPPort(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Port() != 0
}

// Load reads a settings file and decodes it like Decode.
func Load(file string, cfg any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings %s: read: %w", file, err)
	}
	return Decode(file, raw, cfg)
}

// Decode decodes raw into cfg and validates the result if cfg implements Checker. Fields
// that raw doesn't contain keep their values, so that cfg can be filled with defaults
// before. Whole numbers may be written as fractions or with exponents. The file name is only
// used in errors.
func Decode(file string, raw []byte, cfg any) error {
	decoder := json.NewDecoder(bytes.NewReader(rewriteWholeNumbers(raw)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(cfg); err != nil {
		return decodeError(file, raw, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Problem{
			File:    file,
			Field:   "(end of file)",
			Value:   "more data",
			Allowed: "one JSON object",
		}
	}
	checker, ok := cfg.(Checker)
	if !ok {
		return nil
	}
	var problems Problems
	checker.Check(&problems)
	return problems.joinErrors(file)
}

// stringOrNumber matches the strings and numbers of a JSON text.
var stringOrNumber = regexp.MustCompile(`"(?:[^"\\]|\\.)*"|-?[0-9]+(?:\.[0-9]+)?(?:[eE][-+]?[0-9]+)?`)

// rewriteWholeNumbers writes numbers such as 8.0 and 7.5e3 without fraction and exponent, since
// encoding/json doesn't decode them as integers otherwise.
func rewriteWholeNumbers(raw []byte) []byte {
	const maxExact = 1 << 53
	if !json.Valid(raw) {
		return raw
	}
	return stringOrNumber.ReplaceAllFunc(raw, func(token []byte) []byte {
		if token[0] == '"' || !bytes.ContainsAny(token, ".eE") {
			return token
		}
		value, err := strconv.ParseFloat(string(token), 64)
		if err != nil || value != math.Trunc(value) || math.Abs(value) > maxExact {
			return token
		}
		return strconv.AppendInt(nil, int64(value), 10)
	})
}

func (p *Problems) joinErrors(file string) error {
	list := p.List()
	errs := make([]error, 0, len(list))
	for _, problem := range list {
		problem.File = file
		errs = append(errs, problem)
	}
	return errors.Join(errs...)
}

func decodeError(file string, raw []byte, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Problem{
			File:    file,
			Field:   typeErr.Field,
			Value:   typeErr.Value,
			Allowed: "a value of type " + typeErr.Type.String(),
		}
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		line := 1 + bytes.Count(raw[:min(int(syntaxErr.Offset), len(raw))], []byte("\n"))
		return Problem{
			File:    file,
			Field:   fmt.Sprintf("(line %d)", line),
			Value:   syntaxErr.Error(),
			Allowed: "JSON",
		}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return Problem{
			File:      file,
			Field:     "(end of file)",
			Value:     "JSON that ends early",
			Allowed:   "one whole JSON object",
			endsEarly: true,
		}
	}
	// encoding/json has no error type for unknown fields.
	const unknownFieldPrefix = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknownFieldPrefix) {
		return Problem{
			File:    file,
			Field:   strings.Trim(strings.TrimPrefix(text, unknownFieldPrefix), `"`),
			Value:   "unknown field",
			Allowed: "the fields listed in docs/CONFIGURATION.md",
		}
	}
	return fmt.Errorf("settings %s: decode: %w", file, err)
}
