package ledger_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/ledger"
)

func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"records":[{"offset":3,"at":"2026-03-12T09:00:00Z","payload":"eA=="}],"oldest":1,"end":4}`), int64(3))
	f.Add([]byte(`{"records":[{"offset":5},{"offset":6}],"oldest":5,"end":7}`), int64(0))
	f.Add([]byte(`{"records":[{"offset":5},{"offset":7}],"oldest":5,"end":8}`), int64(0))
	f.Add([]byte(`{"records":[{"offset":2}],"oldest":5,"end":6}`), int64(0))
	f.Add([]byte(`{"records":null,"oldest":-1,"end":-5}`), int64(0))
	f.Fuzz(func(t *testing.T, raw []byte, from int64) {
		var page ledger.Page
		if json.Unmarshal(raw, &page) != nil || page.Check(ledger.Offset(from)) != nil {
			return
		}
		if page.Oldest < 0 || page.End < page.Oldest {
			t.Fatalf("bounds %d to %d", page.Oldest, page.End)
		}
		for i, record := range page.Records {
			inside := record.Offset >= page.Oldest && record.Offset < page.End && record.Offset >= ledger.Offset(from)
			follows := i == 0 || record.Offset == page.Records[i-1].Offset+1
			if !inside || !follows {
				t.Fatalf("record %d has offset %d", i, record.Offset)
			}
		}
	})
}

// Another writer's odd entry in the instance list doesn't hide the others.
func TestListSkipsOddEntries(t *testing.T) {
	c := qt.New(t)
	const sound = `{"id":"a","kind":"entry","address":"10.0.0.1:80","data_centre":"x","state":"live","incarnation":1}`
	for _, odd := range []string{
		`null`, `7`, `"text"`, `[]`, `{}`,
		`{"id":"b","kind":"entry","address":"10.0.0.1:99999","incarnation":1}`,
		`{"id":"b","kind":"entry","address":"10.0.0.1:80","incarnation":1e400}`,
		`{"id":"b","kind":"entry","address":"10.0.0.1:80","incarnation":-1}`,
		`{"id":"b","kind":"entry","address":7}`,
		`{"id":"","kind":"entry","address":"10.0.0.1:80","incarnation":1}`,
		`{"id":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"instances":[%s,%s,%s]}`, odd, sound, odd)
		}))
		client := ledger.NewClient(ledger.ClientDeps{Address: strings.TrimPrefix(server.URL, "http://")})
		list, err := client.List(c.Context())
		server.Close()
		c.Check(err, qt.IsNil, qt.Commentf("%.80s", odd))
		c.Check(list, qt.HasLen, 1, qt.Commentf("%.80s", odd))
	}
}
