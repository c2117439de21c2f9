package console

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/balsamlock/balsamlock/plan"
)

const (
	// maxFormRows is the maximum number of rows read from one form.
	maxFormRows = 1000
	// blankRows is the number of empty rows for new values, below the existing ones.
	blankRows = 2
	// minKeyLength is the minimum length of a new key, in bytes.
	minKeyLength = 16
)

// parseEntry returns the entry of a submitted form, and findings for values that the
// schema does not cover.
func parseEntry(s section, form url.Values) (entry, []plan.Finding) {
	e := entry{}
	var findings []plan.Finding
	for _, f := range s.fields {
		switch f.input {
		case inputRows:
			e.set(f.path, parseRows(f, form))
		case inputNewKey:
			findings = append(findings, addKeyDigest(e, form.Get(f.path))...)
		default:
			parseField(e, f, f.path, form)
		}
	}
	if s.list == callerSection.list && e["limits"] == nil {
		e["limits"] = map[string]any{}
	}
	return e, findings
}

func parseField(e entry, f field, name string, form url.Values) {
	value := strings.TrimSpace(form.Get(name))
	switch f.input {
	case inputNumber:
		if value != "" || !f.optional {
			e.set(f.path, parseNumber(value))
		}
	case inputCheck:
		if value != "" || !f.optional {
			e.set(f.path, value != "")
		}
	case inputList:
		if list := strings.Fields(value); len(list) > 0 || !f.optional {
			e.set(f.path, toAnySlice(list))
		}
	case inputChoices:
		e.set(f.path, toAnySlice(form[name]))
	default:
		if value != "" || !f.optional {
			e.set(f.path, value)
		}
	}
}

// parseNumber returns text as a JSON number. It returns text itself if it is not a
// number, so that the schema check reports it.
func parseNumber(text string) any {
	var n json.Number
	if json.Unmarshal([]byte(text), &n) != nil || strings.HasPrefix(text, `"`) {
		return text
	}
	return n
}

func toAnySlice(texts []string) []any {
	list := make([]any, 0, len(texts))
	for _, text := range texts {
		list = append(list, text)
	}
	return list
}

// parseRows returns the rows that have a value in their first column.
func parseRows(f field, form url.Values) []any {
	rows := []any{}
	for i := range maxFormRows {
		firstName := fmt.Sprintf("%s.%d.%s", f.path, i, f.columns[0].path)
		if !form.Has(firstName) {
			break
		}
		if strings.TrimSpace(form.Get(firstName)) == "" {
			continue
		}
		row := entry{}
		for _, column := range f.columns {
			parseField(row, column, fmt.Sprintf("%s.%d.%s", f.path, i, column.path), form)
		}
		rows = append(rows, map[string]any(row))
	}
	return rows
}

func addKeyDigest(e entry, key string) []plan.Finding {
	if key == "" {
		return nil
	}
	if len(key) < minKeyLength {
		return []plan.Finding{{
			Path:    "new_key",
			Value:   fmt.Sprintf("<%d characters>", len(key)),
			Allowed: fmt.Sprintf("at least %d characters", minKeyLength),
		}}
	}
	digest := sha256.Sum256([]byte(key))
	list, _ := e["key_sha256"].([]any)
	e["key_sha256"] = append(list, hex.EncodeToString(digest[:]))
	return nil
}

// fieldView is the template data of one input.
type fieldView struct {
	ID       string
	Name     string
	Label    string
	Help     string
	Input    string
	Value    string
	Checked  bool
	Required bool
	Options  []optionView
	Rows     []rowView
	Findings []plan.Finding
}

type optionView struct {
	ID       string
	Value    string
	Selected bool
}

type rowView struct {
	Label string
	Cells []fieldView
}

// newFieldViews returns the inputs of an entry with their findings, and the findings
// that belong to no input. The paths of findings are relative to the entry.
func newFieldViews(s section, e entry, document plan.Document, findings []plan.Finding) (views []fieldView, unattached []plan.Finding) {
	for _, f := range s.fields {
		view := newFieldView(f, f.path, e.get(f.path), document)
		if f.input == inputRows {
			view.Rows = newRowViews(f, e.get(f.path), document)
		}
		views = append(views, view)
	}
	for _, finding := range findings {
		if !attachFinding(views, finding) {
			unattached = append(unattached, finding)
		}
	}
	return views, unattached
}

func newFieldView(f field, name string, value any, document plan.Document) fieldView {
	view := fieldView{
		ID:       "f-" + strings.ReplaceAll(name, ".", "-"),
		Name:     name,
		Label:    f.label,
		Help:     f.help,
		Input:    string(f.input),
		Value:    formatValue(value),
		Required: !f.optional,
	}
	switch f.input {
	case inputCheck:
		view.Checked = value == true
	case inputSelect:
		view.Options = newOptionViews(view.ID, f.options(document), []string{view.Value})
	case inputChoices:
		view.Options = newOptionViews(view.ID, f.options(document), strings.Fields(view.Value))
	case inputNewKey:
		view.Value = ""
	}
	return view
}

// newOptionViews returns the offered options, followed by selected values that are
// not offered, so that saving the form does not lose them.
func newOptionViews(id string, offered, selected []string) []optionView {
	remaining := map[string]bool{}
	for _, value := range selected {
		remaining[value] = true
	}
	var views []optionView
	add := func(value string) {
		views = append(views, optionView{
			ID:       fmt.Sprintf("%s-%d", id, len(views)),
			Value:    value,
			Selected: remaining[value],
		})
		delete(remaining, value)
	}
	for _, value := range offered {
		add(value)
	}
	for _, value := range selected {
		if value != "" && remaining[value] {
			add(value)
		}
	}
	return views
}

func newRowViews(f field, value any, document plan.Document) []rowView {
	list, _ := value.([]any)
	rows := make([]rowView, 0, len(list)+blankRows)
	for i := range len(list) + blankRows {
		row := entry{}
		if i < len(list) {
			row, _ = list[i].(map[string]any)
		}
		view := rowView{Label: fmt.Sprintf("%s, row %d", f.label, i+1)}
		for _, column := range f.columns {
			name := fmt.Sprintf("%s.%d.%s", f.path, i, column.path)
			cell := newFieldView(column, name, row.get(column.path), document)
			cell.Required = false
			view.Cells = append(view.Cells, cell)
		}
		rows = append(rows, view)
	}
	return rows
}

func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		texts := make([]string, 0, len(v))
		for _, item := range v {
			texts = append(texts, formatValue(item))
		}
		return strings.Join(texts, "\n")
	default:
		return fmt.Sprint(v)
	}
}

var listIndexPattern = regexp.MustCompile(`\[(\d+)\]`)

// attachFinding adds a finding to the input that it belongs to, and reports whether
// there is such an input.
func attachFinding(views []fieldView, finding plan.Finding) bool {
	path := listIndexPattern.ReplaceAllString(finding.Path, ".$1")
	for i := range views {
		view := &views[i]
		if view.attachToCell(path, finding) {
			return true
		}
		if path == view.Name || strings.HasPrefix(path, view.Name+".") {
			view.Findings = append(view.Findings, finding)
			return true
		}
	}
	return false
}

func (v *fieldView) attachToCell(path string, finding plan.Finding) bool {
	for i := range v.Rows {
		for j := range v.Rows[i].Cells {
			cell := &v.Rows[i].Cells[j]
			if cell.Name == path {
				cell.Findings = append(cell.Findings, finding)
				return true
			}
		}
	}
	return false
}

// findingsOfEntry returns the findings of one entry, with paths relative to the
// entry.
func findingsOfEntry(findings []plan.Finding, list string, index int) []plan.Finding {
	prefix := list + "[" + strconv.Itoa(index) + "]"
	var matching []plan.Finding
	for _, finding := range findings {
		path, ok := strings.CutPrefix(finding.Path, prefix)
		if !ok {
			continue
		}
		finding.Path = strings.TrimPrefix(path, ".")
		matching = append(matching, finding)
	}
	return matching
}
