package console

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/balsamlock/balsamlock/plan"
)

// maxListRows bounds the entries that a list shows at once.
const maxListRows = 200

// step is what a form's button asks for, such as "edit:callers:3".
type step struct {
	verb  string
	list  string
	index int
}

func stepOf(text string) step {
	const parts = 3
	fields := strings.SplitN(text, ":", parts)
	s := step{
		verb:  fields[0],
		index: -1,
	}
	if len(fields) > 1 {
		s.list = fields[1]
	}
	if len(fields) == parts {
		if n, err := strconv.Atoi(fields[parts-1]); err == nil {
			s.index = n
		}
	}
	return s
}

// edit is one step of an edit.
type edit struct {
	console  *Console
	w        http.ResponseWriter
	r        *http.Request
	page     page
	step     step
	section  section
	document plan.Document
	findings []plan.Finding
}

// draft takes one step of an edit. The draft comes with the form.
func (c *Console) draft(w http.ResponseWriter, r *http.Request, p page) {
	e := &edit{
		console: c,
		w:       w,
		r:       r,
		page:    p,
		step:    stepOf(r.PostForm.Get("go")),
	}
	if e.step.verb == "start" {
		e.start()
		return
	}
	document, err := decodeDraft(r.PostForm.Get("draft"))
	if err != nil {
		c.fail(w, p, http.StatusBadRequest, "The draft in the form could not be read: "+err.Error())
		return
	}
	e.document = document
	e.section, _ = findSection(e.step.list)
	e.run()
}

func (e *edit) run() {
	switch e.step.verb {
	case "overview":
		e.showOverview()
	case "list":
		e.inSection(e.showList)
	case "edit":
		e.inSection(e.showEntry)
	case "add":
		e.inSection(e.showNew)
	case "save":
		e.inSection(e.save)
	case "remove":
		e.inSection(e.remove)
	case "review":
		e.showReview()
	case "publish":
		e.publish()
	case "ask":
		e.ask()
	case "rebase":
		e.rebase()
	case "discard":
		http.Redirect(e.w, e.r, "/", http.StatusSeeOther)
	default:
		e.console.fail(e.w, e.page, http.StatusBadRequest, "The form asks for a step that is not known.")
	}
}

func (e *edit) inSection(next func()) {
	if e.section.list == "" {
		e.console.fail(e.w, e.page, http.StatusBadRequest, "The form names a list that is not known.")
		return
	}
	next()
}

// start makes a draft of the accepted document.
func (e *edit) start() {
	follower := e.console.deps.Follower
	e.console.refresh(e.r.Context())
	claim := follower.State().Snapshot()
	if claim.Newest().Version == plan.NoVersion && !follower.Stream().CaughtUp {
		e.console.fail(e.w, e.page, http.StatusServiceUnavailable,
			"The platform's log has not been read yet, so the accepted document is not known. Try again in a moment.")
		return
	}
	e.document = claim.Document.WithBase(claim.Newest().Digest)
	e.showOverview()
}

// show renders a page of the edit with the draft in it.
func (e *edit) show(status int, name string) {
	draft, err := encodeDraft(e.document)
	if err != nil {
		e.console.fail(e.w, e.page, http.StatusInternalServerError, err.Error())
		return
	}
	e.page.Draft = draft
	e.findings = e.document.Check()
	t := treeOf(e.document)
	for _, s := range sections {
		view := e.view(s, len(t.list(s.list)))
		e.page.Sections = append(e.page.Sections, view)
		if view.Active {
			e.page.Section = view
		}
	}
	e.console.show(e.w, status, name, e.page)
}

func (e *edit) view(s section, count int) sectionView {
	view := sectionView{
		List:     s.list,
		Title:    s.title,
		Singular: s.singular,
		Help:     s.help,
		Count:    count,
		Active:   s.list == e.section.list,
	}
	for _, finding := range e.findings {
		if strings.HasPrefix(finding.Path, s.list+"[") {
			view.Findings++
		}
	}
	for _, path := range s.summary {
		for _, f := range s.fields {
			if f.path == path {
				view.Columns = append(view.Columns, f.label)
			}
		}
	}
	return view
}

func (e *edit) showOverview() {
	e.page.Title = "Edit the routing document"
	e.show(http.StatusOK, pageOverview)
}

func (e *edit) showList() {
	e.page.Title = e.section.title
	e.page.Filter = strings.TrimSpace(e.r.PostForm.Get("filter"))
	findings := e.document.Check()
	hidden := 0
	for i, item := range treeOf(e.document).list(e.section.list) {
		object, _ := item.(map[string]any)
		row := listRow{
			Index:    i,
			Name:     nameOf(object),
			Findings: findingsOf(findings, e.section.list, i),
		}
		for _, path := range e.section.summary {
			row.Cells = append(row.Cells, strings.ReplaceAll(textOf(entry(object).get(path)), "\n", ", "))
		}
		if !row.matches(e.page.Filter) {
			continue
		}
		if len(e.page.Rows) == maxListRows {
			hidden++
			continue
		}
		e.page.Rows = append(e.page.Rows, row)
	}
	if hidden > 0 && e.page.Message == "" {
		e.page.Message = strconv.Itoa(hidden) + " more entries are not shown; narrow the list with the filter."
	}
	e.show(http.StatusOK, pageList)
}

func (r listRow) matches(filter string) bool {
	if strings.Contains(r.Name, filter) {
		return true
	}
	return strings.Contains(strings.Join(r.Cells, " "), filter)
}

func (e *edit) showEntry() {
	item := treeOf(e.document).entry(e.section.list, e.step.index)
	findings := findingsOf(e.document.Check(), e.section.list, e.step.index)
	e.form(http.StatusOK, e.step.index, item, findings)
}

func (e *edit) showNew() {
	e.page.IsNew = true
	e.form(http.StatusOK, len(treeOf(e.document).list(e.section.list)), entry{}, nil)
}

func (e *edit) form(status, index int, item entry, findings []plan.Finding) {
	e.page.Index = index
	e.page.Fields, e.page.Findings = showEntry(e.section, item, e.document, findings)
	e.page.Title = "New " + e.section.singular
	if !e.page.IsNew {
		e.page.Title = strings.ToUpper(e.section.singular[:1]) + e.section.singular[1:] + " " + nameOf(item)
	}
	e.show(status, pageEntry)
}

// save puts the submitted entry into the draft if it fits the schema. Findings
// of meaning are shown, and the entry is kept: its neighbors may be to come.
func (e *edit) save() {
	t := treeOf(e.document)
	index := min(max(e.step.index, 0), len(t.list(e.section.list)))
	item, findings := readEntry(e.section, e.r.PostForm)
	e.page.IsNew = index == len(t.list(e.section.list))
	t.put(e.section.list, index, item)
	document, err := t.document()
	findings = append(findings, findingsOf(plan.FindingsOf(err), e.section.list, index)...)
	if len(findings) > 0 || err != nil {
		e.page.Message = "Not saved: mend the fields that are marked."
		e.page.Alert = true
		e.form(http.StatusUnprocessableEntity, index, item, findings)
		return
	}
	e.document = document
	e.page.IsNew = false
	own := findingsOf(document.Check(), e.section.list, index)
	if len(own) > 0 {
		e.page.Message = "Saved in the draft, with findings that have to be mended before it can be published."
		e.page.Alert = true
		e.form(http.StatusOK, index, treeOf(document).entry(e.section.list, index), own)
		return
	}
	e.page.Message = "Saved in the draft: " + nameOf(item) + "."
	e.showList()
}

func (e *edit) remove() {
	t := treeOf(e.document)
	name := nameOf(t.entry(e.section.list, e.step.index))
	t.remove(e.section.list, e.step.index)
	document, err := t.document()
	if err != nil {
		e.console.fail(e.w, e.page, http.StatusBadRequest, err.Error())
		return
	}
	e.document = document
	e.page.Message = "Removed from the draft: " + name + "."
	e.showList()
}
