package console

import (
	"fmt"
	"slices"
	"strings"

	"github.com/balsamlock/balsamlock/plan"
)

// inputType is the type of a form's input.
type inputType string

// The types of inputs.
const (
	inputText    inputType = "text"
	inputNumber  inputType = "number"
	inputCheck   inputType = "check"
	inputSelect  inputType = "select"
	inputList    inputType = "list"
	inputChoices inputType = "choices"
	inputRows    inputType = "rows"
	// inputNewKey accepts a new key. Only its digest is stored.
	inputNewKey inputType = "new_key"
)

// field describes one input of an entry's form.
type field struct {
	// path is the JSON path relative to the entry, such as "limits.concurrent".
	path     string
	label    string
	help     string
	input    inputType
	optional bool
	// options returns the options of a select or choices input.
	options func(document plan.Document) []string
	// columns are the fields of each row of a rows input.
	columns []field
}

// section describes one list of the document and the form for its entries.
type section struct {
	// list is the name of the list's JSON field.
	list     string
	title    string
	singular string
	help     string
	// summary holds the paths of the columns on the list page, besides the name.
	summary []string
	fields  []field
}

func findSection(list string) (section, bool) {
	i := slices.IndexFunc(sections, func(s section) bool { return s.list == list })
	if i < 0 {
		return section{}, false
	}
	return sections[i], true
}

// entryName returns the name of an entry. For a link, which has no
// name, it returns the two regions.
func entryName(e entry) string {
	if name, ok := e["name"].(string); ok {
		return name
	}
	if from, ok := e["from"].(string); ok {
		return fmt.Sprintf("%s to %v", from, e["to"])
	}
	return ""
}

func (e entry) get(path string) any {
	var value any = map[string]any(e)
	for key := range strings.SplitSeq(path, ".") {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = object[key]
	}
	return value
}

func (e entry) set(path string, value any) {
	object := map[string]any(e)
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		child, ok := object[key].(map[string]any)
		if !ok {
			child = map[string]any{}
			object[key] = child
		}
		object = child
	}
	object[keys[len(keys)-1]] = value
}

func staticOptions(options ...string) func(plan.Document) []string {
	return func(plan.Document) []string { return options }
}

func regionNames(d plan.Document) []string {
	var names []string
	for _, region := range d.Regions {
		names = append(names, region.Name)
	}
	return names
}

func dataCentreNames(d plan.Document) []string {
	var names []string
	for _, region := range d.Regions {
		names = append(names, region.DataCentres...)
	}
	return names
}

func baseModelNames(d plan.Document) []string {
	var names []string
	for _, model := range d.Models {
		names = append(names, model.Name)
	}
	return names
}

func modelGrantOptions(d plan.Document) []string {
	names := []string{plan.All}
	for _, model := range d.Models {
		names = append(names, model.Name)
		for _, adapter := range model.Adapters {
			names = append(names, adapter.Name)
		}
	}
	return names
}

func serviceNames(d plan.Document) []string {
	var names []string
	for _, service := range d.Services {
		names = append(names, service.Name)
	}
	return names
}

func serviceGrantOptions(d plan.Document) []string {
	return append([]string{plan.All}, serviceNames(d)...)
}

func poolNames(d plan.Document) []string {
	var names []string
	for _, pool := range d.Pools {
		names = append(names, pool.Name)
	}
	return names
}
