package console_test

import (
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"strings"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/html"
)

// browser fills in and submits forms like a web browser without JavaScript.
type browser struct {
	c      *qt.C
	client *http.Client
	base   string
	status int
	header http.Header
	root   *html.Node
	text   string
	// filled holds the values that replace those of the page's inputs, by input name.
	filled url.Values
}

func newBrowser(c *qt.C, base string, transport http.RoundTripper) *browser {
	jar, err := cookiejar.New(nil)
	c.Assert(err, qt.IsNil)
	return &browser{
		c: c,
		client: &http.Client{
			Transport: transport,
			Jar:       jar,
		},
		base:   base,
		filled: url.Values{},
	}
}

func (b *browser) get(path string) {
	b.c.Helper()
	resp, err := b.client.Get(b.base + path)
	b.readResponse(resp, err)
}

func (b *browser) post(path string, values url.Values) {
	b.c.Helper()
	resp, err := b.client.PostForm(b.base+path, values)
	b.readResponse(resp, err)
}

func (b *browser) readResponse(resp *http.Response, err error) {
	b.c.Helper()
	b.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	b.status = resp.StatusCode
	b.header = resp.Header
	b.root, err = html.Parse(resp.Body)
	b.c.Assert(err, qt.IsNil)
	var text strings.Builder
	walk(b.root, func(n *html.Node) {
		if n.Type == html.TextNode {
			text.WriteString(n.Data)
		}
	})
	b.text = text.String()
	b.filled = url.Values{}
}

// fill sets the values of an input of the page. It fails the test if there is none.
func (b *browser) fill(name string, values ...string) {
	b.c.Helper()
	found := false
	walk(b.root, func(n *html.Node) { found = found || attr(n, "name") == name })
	b.c.Assert(found, qt.IsTrue, qt.Commentf("no input %q on page: %s", name, b.text))
	b.filled[name] = values
}

// click submits the form that contains the button with the given value.
func (b *browser) click(value string) {
	b.c.Helper()
	var form *html.Node
	walk(b.root, func(n *html.Node) {
		if n.Data == "button" && attr(n, "value") == value {
			form = n
		}
	})
	b.c.Assert(form, qt.IsNotNil, qt.Commentf("no button %q on page: %s", value, b.text))
	for form.Data != "form" {
		form = form.Parent
	}
	values := formValues(form)
	for name, filled := range b.filled {
		values[name] = filled
	}
	if value != "" {
		values.Set("go", value)
	}
	b.post(attr(form, "action"), values)
}

func formValues(form *html.Node) url.Values {
	values := url.Values{}
	walk(form, func(n *html.Node) {
		name := attr(n, "name")
		switch n.Data {
		case "textarea":
			if n.FirstChild != nil {
				values.Add(name, n.FirstChild.Data)
			}
		case "select":
			values.Add(name, selectedOption(n))
		case "input":
			if attr(n, "type") != "checkbox" || hasAttr(n, "checked") {
				values.Add(name, attr(n, "value"))
			}
		}
	})
	return values
}

func selectedOption(n *html.Node) string {
	value := ""
	walk(n, func(option *html.Node) {
		if option.Data == "option" && hasAttr(option, "selected") && option.FirstChild != nil {
			value = option.FirstChild.Data
		}
	})
	return value
}

func walk(n *html.Node, visit func(n *html.Node)) {
	visit(n)
	for child := n.FirstChild; child != nil; child = child.NextSibling {
		walk(child, visit)
	}
}

func attr(n *html.Node, key string) string {
	for _, a := range n.Attr {
		if a.Key == key {
			return a.Val
		}
	}
	return ""
}

func hasAttr(n *html.Node, key string) bool {
	for _, a := range n.Attr {
		if a.Key == key {
			return true
		}
	}
	return false
}
