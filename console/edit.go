package console

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/balsamlock/balsamlock/plan"
)

// maxListRows is the maximum number of entries on a list page.
const maxListRows = 200

// action is the value of the submit button, such as "edit:callers:3". The index is
// -1 if the button has none.
type action struct {
	verb  string
	list  string
	index int
}

func parseAction(text string) action {
	const maxParts = 3
	fields := strings.SplitN(text, ":", maxParts)
	a := action{
		verb:  fields[0],
		index: -1,
	}
	if len(fields) > 1 {
		a.list = fields[1]
	}
	if len(fields) == maxParts {
		if n, err := strconv.Atoi(fields[maxParts-1]); err == nil {
			a.index = n
		}
	}
	return a
}

// editRequest handles the submission of one form of an edit.
type editRequest struct {
	console  *Console
	w        http.ResponseWriter
	r        *http.Request
	page     page
	action   action
	section  section
	document plan.Document
	findings []plan.Finding
}

// handleDraft handles the submission of a form. The form carries the draft, except
// for the action that starts an edit.
func (c *Console) handleDraft(w http.ResponseWriter, r *http.Request, p page) {
	e := &editRequest{
		console: c,
		w:       w,
		r:       r,
		page:    p,
		action:  parseAction(r.PostForm.Get("go")),
	}
	if e.action.verb == "start" {
		e.startDraft()
		return
	}
	document, err := decodeDraft(r.PostForm.Get("draft"))
	if err != nil {
		c.renderError(w, p, http.StatusBadRequest, "The draft in the form could not be read: "+err.Error())
		return
	}
	e.document = document
	e.section, _ = findSection(e.action.list)
	e.dispatch()
}

func (e *editRequest) dispatch() {
	switch e.action.verb {
	case "overview":
		e.showOverview()
	case "list":
		e.withSection(e.showList)
	case "edit":
		e.withSection(e.showEntry)
	case "add":
		e.withSection(e.showNew)
	case "save":
		e.withSection(e.save)
	case "remove":
		e.withSection(e.remove)
	case "review":
		e.showReview()
	case "publish":
		e.publish()
	case "ask":
		e.resumePublish()
	case "rebase":
		e.rebase()
	case "discard":
		http.Redirect(e.w, e.r, "/", http.StatusSeeOther)
	default:
		e.console.renderError(e.w, e.page, http.StatusBadRequest, "The form requests an unknown action.")
	}
}

func (e *editRequest) withSection(next func()) {
	if e.section.list == "" {
		e.console.renderError(e.w, e.page, http.StatusBadRequest, "The form refers to an unknown list.")
		return
	}
	next()
}

// startDraft starts an edit with the accepted document as the draft.
func (e *editRequest) startDraft() {
	follower := e.console.deps.Follower
	e.console.refresh(e.r.Context())
	snapshot := follower.State().Snapshot()
	if snapshot.Newest().Version == plan.NoVersion && !follower.Stream().CaughtUp {
		e.console.renderError(e.w, e.page, http.StatusServiceUnavailable,
			"The platform's log has not been read yet, so the accepted document is unknown. Try again in a moment.")
		return
	}
	e.document = snapshot.Document.WithBase(snapshot.Newest().Digest)
	e.showOverview()
}

// render renders a page of the edit, including the draft and its findings.
func (e *editRequest) render(status int, name string) {
	draft, err := encodeDraft(e.document)
	if err != nil {
		e.console.renderError(e.w, e.page, http.StatusInternalServerError, err.Error())
		return
	}
	e.page.Draft = draft
	e.findings = e.document.Check()
	doc := newJSONDocument(e.document)
	for _, s := range sections {
		view := e.newSectionView(s, len(doc.list(s.list)))
		e.page.Sections = append(e.page.Sections, view)
		if view.Active {
			e.page.Section = view
		}
	}
	e.console.render(e.w, status, name, e.page)
}

func (e *editRequest) newSectionView(s section, count int) sectionView {
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

func (e *editRequest) showOverview() {
	e.page.Title = "Edit the routing document"
	e.render(http.StatusOK, pageOverview)
}

func (e *editRequest) showList() {
	e.page.Title = e.section.title
	e.page.Filter = strings.TrimSpace(e.r.PostForm.Get("filter"))
	findings := e.document.Check()
	hidden := 0
	for i, item := range newJSONDocument(e.document).list(e.section.list) {
		object, _ := item.(map[string]any)
		row := listRow{
			Index:    i,
			Name:     entryName(object),
			Findings: findingsOfEntry(findings, e.section.list, i),
		}
		for _, path := range e.section.summary {
			row.Cells = append(row.Cells, strings.ReplaceAll(formatValue(entry(object).get(path)), "\n", ", "))
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
		e.page.Message = strconv.Itoa(hidden) + " more entries are not shown. Use the filter to narrow the list."
	}
	e.render(http.StatusOK, pageList)
}

func (r listRow) matches(filter string) bool {
	if strings.Contains(r.Name, filter) {
		return true
	}
	return strings.Contains(strings.Join(r.Cells, " "), filter)
}

func (e *editRequest) showEntry() {
	item := newJSONDocument(e.document).entry(e.section.list, e.action.index)
	findings := findingsOfEntry(e.document.Check(), e.section.list, e.action.index)
	e.renderEntry(http.StatusOK, e.action.index, item, findings)
}

func (e *editRequest) showNew() {
	e.page.IsNew = true
	e.renderEntry(http.StatusOK, len(newJSONDocument(e.document).list(e.section.list)), entry{}, nil)
}

func (e *editRequest) renderEntry(status, index int, item entry, findings []plan.Finding) {
	e.page.Index = index
	e.page.Fields, e.page.Findings = newFieldViews(e.section, item, e.document, findings)
	e.page.Title = "New " + e.section.singular
	if !e.page.IsNew {
		e.page.Title = strings.ToUpper(e.section.singular[:1]) + e.section.singular[1:] + " " + entryName(item)
	}
	e.render(status, pageEntry)
}

// save stores the submitted entry in the draft if it conforms to the schema.
// Findings of the semantic checks are shown but do not prevent saving, because the
// entry may refer to entries that the operator has yet to add.
func (e *editRequest) save() {
	doc := newJSONDocument(e.document)
	index := min(max(e.action.index, 0), len(doc.list(e.section.list)))
	item, findings := parseEntry(e.section, e.r.PostForm)
	e.page.IsNew = index == len(doc.list(e.section.list))
	doc.put(e.section.list, index, item)
	document, err := doc.document()
	findings = append(findings, findingsOfEntry(plan.FindingsOf(err), e.section.list, index)...)
	if len(findings) > 0 || err != nil {
		e.page.Message = "Not saved: correct the marked fields."
		e.page.Alert = true
		e.renderEntry(http.StatusUnprocessableEntity, index, item, findings)
		return
	}
	e.document = document
	e.page.IsNew = false
	entryFindings := findingsOfEntry(document.Check(), e.section.list, index)
	if len(entryFindings) > 0 {
		e.page.Message = "Saved in the draft, with findings that must be fixed before the draft can be published."
		e.page.Alert = true
		e.renderEntry(http.StatusOK, index, newJSONDocument(document).entry(e.section.list, index), entryFindings)
		return
	}
	e.page.Message = "Saved in the draft: " + entryName(item) + "."
	e.showList()
}

func (e *editRequest) remove() {
	doc := newJSONDocument(e.document)
	name := entryName(doc.entry(e.section.list, e.action.index))
	doc.remove(e.section.list, e.action.index)
	document, err := doc.document()
	if err != nil {
		e.console.renderError(e.w, e.page, http.StatusBadRequest, err.Error())
		return
	}
	e.document = document
	e.page.Message = "Removed from the draft: " + name + "."
	e.showList()
}
