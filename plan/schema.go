package plan

import (
	"bytes"
	_ "embed" // the schema file
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaSource []byte

// maxValueLength limits the length of a value quoted in a finding, in bytes.
const maxValueLength = 80

const schemaFileName = "routing-document.json"

var compileSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	source, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaSource))
	if err != nil {
		return nil, fmt.Errorf("schema %s: read: %w", schemaFileName, err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaFileName, source); err != nil {
		return nil, fmt.Errorf("schema %s: add: %w", schemaFileName, err)
	}
	return compiler.Compile(schemaFileName)
})

// Schema returns a copy of the JSON schema of the document.
func Schema() []byte { return bytes.Clone(schemaSource) }

// schemaFindings validates a decoded JSON value against the schema.
func schemaFindings(value any) []Finding {
	schema, err := compileSchema()
	if err != nil {
		return []Finding{documentFinding(err)}
	}
	err = schema.Validate(value)
	if err == nil {
		return nil
	}
	var validation *jsonschema.ValidationError
	if !errors.As(err, &validation) {
		return []Finding{documentFinding(err)}
	}
	collector := schemaCollector{
		root:    value,
		printer: message.NewPrinter(language.English),
	}
	collector.collect(validation)
	return sortFindings(collector.findings)
}

func documentFinding(err error) Finding {
	return Finding{
		Path:    "(document)",
		Value:   err.Error(),
		Allowed: "a routing document",
	}
}

// schemaCollector converts the leaves of a validation error into findings.
type schemaCollector struct {
	root     any
	printer  *message.Printer
	findings []Finding
}

func (c *schemaCollector) collect(err *jsonschema.ValidationError) {
	if len(err.Causes) > 0 {
		for _, cause := range err.Causes {
			c.collect(cause)
		}
		return
	}
	value := valueAt(c.root, err.InstanceLocation)
	switch k := err.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			c.add(append(err.InstanceLocation, name), "(missing)", "a value, since the field is required")
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			c.add(append(err.InstanceLocation, name), "(unknown field)", "only fields of the schema")
		}
	case *kind.Pattern:
		c.add(err.InstanceLocation, truncatedJSON(value), "a string that matches "+k.Want)
	default:
		c.add(err.InstanceLocation, truncatedJSON(value), c.allowed(k))
	}
}

// allowed describes the expected value in the same wording as Document.Check.
func (c *schemaCollector) allowed(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Minimum:
		return "at least " + k.Want.RatString()
	case *kind.Maximum:
		return "at most " + k.Want.RatString()
	case *kind.ExclusiveMinimum:
		return "more than " + k.Want.RatString()
	case *kind.Type:
		return "a value of type " + strings.Join(k.Want, " or ")
	case *kind.Enum:
		return "one of " + truncatedJSON(k.Want)
	case *kind.Const:
		return truncatedJSON(k.Want)
	case *kind.MinItems:
		return fmt.Sprintf("at least %d entries", k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("at most %d entries", k.Want)
	case *kind.MinLength:
		return fmt.Sprintf("at least %d characters", k.Want)
	case *kind.MaxLength:
		return fmt.Sprintf("at most %d characters", k.Want)
	}
	return k.LocalizedString(c.printer)
}

func (c *schemaCollector) add(location []string, value, allowed string) {
	c.findings = append(c.findings, Finding{
		Path:    pathOf(location),
		Entry:   entryAt(c.root, location),
		Value:   value,
		Allowed: allowed,
	})
}

// pathOf formats a location as a field path such as "callers[3].weight".
func pathOf(location []string) string {
	path := ""
	for _, step := range location {
		if _, err := strconv.Atoi(step); err == nil {
			path += "[" + step + "]"
			continue
		}
		path = joinField(path, step)
	}
	if path == "" {
		return "(document)"
	}
	return path
}

func valueAt(root any, location []string) any {
	for _, step := range location {
		switch v := root.(type) {
		case map[string]any:
			root = v[step]
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			root = v[i]
		default:
			return nil
		}
	}
	return root
}

// entryAt returns the type and name of the top-level entry that contains a
// location, such as "caller studio-a". It returns "" if there is none.
func entryAt(root any, location []string) string {
	const listAndIndex = 2
	if len(location) < listAndIndex {
		return ""
	}
	entry, ok := valueAt(root, location[:listAndIndex]).(map[string]any)
	if !ok {
		return ""
	}
	name, ok := entry["name"].(string)
	if !ok {
		return ""
	}
	return strings.TrimSuffix(location[0], "s") + " " + truncate(name)
}

func truncatedJSON(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%T", value)
	}
	return truncate(string(raw))
}

func truncate(text string) string {
	if len(text) <= maxValueLength {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueLength], "") + "..."
}
