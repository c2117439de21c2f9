package entry_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/entry"
)

// settingRows returns a table row with the path and the default of each field of a JSON
// value.
func settingRows(prefix string, v any) []string {
	object, ok := v.(map[string]any)
	if !ok {
		return []string{fmt.Sprintf("| `%s` | %s |", prefix, strings.TrimSpace(jsonText(v)))}
	}
	var rows []string
	for name, value := range object {
		rows = append(rows, settingRows(strings.TrimPrefix(prefix+"."+name, "."), value)...)
	}
	slices.Sort(rows)
	return rows
}

func jsonText(v any) string {
	raw, err := json.Marshal(v)
	if err != nil || string(raw) == "null" || string(raw) == `""` {
		return ""
	}
	return string(raw)
}

// TestDocumentationListsEverySetting checks that docs/CONFIGURATION.md lists the
// settings of an entry instance with their defaults.
func TestDocumentationListsEverySetting(t *testing.T) {
	c := qt.New(t)
	raw, err := json.Marshal(entry.DefaultConfig())
	c.Assert(err, qt.IsNil)
	var cfg any
	c.Assert(json.Unmarshal(raw, &cfg), qt.IsNil)
	doc, err := os.ReadFile("../docs/CONFIGURATION.md")
	c.Assert(err, qt.IsNil)
	for _, row := range settingRows("", cfg) {
		c.Check(strings.Contains(string(doc), row), qt.IsTrue, qt.Commentf("docs/CONFIGURATION.md has no row %s", row))
	}
}

func TestSettingsErrorsNameFullPath(t *testing.T) {
	c := qt.New(t)
	cfg := entry.DefaultConfig()
	err := settings.Decode("e.json", []byte(`{"listen": "host:80", "counter": {"max_body_bytes": 0}, "firing": {"tries": 0}}`), &cfg)
	c.Assert(err, qt.IsNotNil)
	for _, field := range []string{"field listen:", "field counter.max_body_bytes:", "field firing.tries:", "field peer_key:", "field data_centre:"} {
		c.Check(err.Error(), qt.Contains, field)
	}
}
