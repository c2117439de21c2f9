package plan

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

func newRoute(name, host, prefix string) HostRoute {
	return HostRoute{
		Name:   name,
		Host:   host,
		Prefix: prefix,
		Services: []WeightedService{{
			Name:   "models",
			Weight: 1,
		}},
	}
}

func TestTableMatchesLongestPrefix(t *testing.T) {
	c := qt.New(t)
	table := NewTable(1, []HostRoute{
		newRoute("short", "a.example", "/x/"),
		newRoute("long", "a.example", "/x/y/"),
		newRoute("other", "b.example", "/"),
	}, nil, IngressLimits{})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.example:80", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/X/1", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/1", ""},
	} {
		route, ok := table.Match(test.host, test.path)
		c.Assert(route.Name, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
		c.Assert(ok, qt.Equals, test.want != "")
	}
}

func TestHostRouteSplitsByWeight(t *testing.T) {
	c := qt.New(t)
	route := HostRoute{Services: []WeightedService{
		{
			Name:   "a",
			Weight: 90,
		},
		{
			Name:   "b",
			Weight: 10,
		},
		{
			Name:   "none",
			Weight: 0,
		},
	}}
	counts := map[string]int{}
	for i := range 10_000 {
		counts[route.Choose(string(rune(i)))]++
	}
	c.Assert(counts["b"] > 800 && counts["b"] < 1200, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts["none"], qt.Equals, 0)
	c.Assert(HostRoute{}.Choose("x"), qt.Equals, "")
}

func TestTableHolderNeverReverts(t *testing.T) {
	c := qt.New(t)
	var h TableHolder
	var wg sync.WaitGroup
	for version := range uint64(100) {
		wg.Go(func() {
			h.StoreIfNewer(NewTable(version+1, nil, nil, IngressLimits{}))
			c.Check(h.Current().Version() >= version+1, qt.IsTrue)
		})
	}
	wg.Wait()
	c.Assert(h.Current().Version(), qt.Equals, uint64(100))
	c.Assert(h.StoreIfNewer(NewTable(100, nil, nil, IngressLimits{})), qt.IsFalse)
}

func TestMayRepeat(t *testing.T) {
	c := qt.New(t)
	c.Assert(HostRoute{Kind: CallOnce}.MayRepeat(), qt.IsFalse)
	c.Assert(HostRoute{Kind: CallRepeatable}.MayRepeat(), qt.IsTrue)
	c.Assert(HostRoute{Kind: CallStream}.MayRepeat(), qt.IsFalse)
	c.Assert(HostRoute{
		Kind:      CallStream,
		Resumable: true,
	}.MayRepeat(), qt.IsTrue)
}
