package console

import (
	"bytes"
	"context"
	"net/http"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
)

// page is the data of a template.
type page struct {
	Title    string
	Token    string
	SignedIn bool
	// Message is shown at the top of the page, as an alert if Alert is set.
	Message string
	Alert   bool

	Current   *plan.Current
	Stream    streamView
	Instances []operator.InstanceStatus
	// InForce is the number of instances whose active document is at least as new as
	// Accepted.
	InForce int

	// Draft is the encoded draft. Sections are its lists, and Section is the list
	// being edited.
	Draft    string
	Sections []sectionView
	Section  sectionView
	Filter   string
	Rows     []listRow
	Index    int
	IsNew    bool
	Fields   []fieldView
	Findings []plan.Finding
	Changes  []plan.Change
	RecordID string
	Outcome  string
	// CanRebase is set if the draft must be rebased onto the accepted document.
	CanRebase bool
	// CanAsk is set if the outcome is unknown and the publication can be resumed.
	CanAsk   bool
	Accepted plan.Accepted
}

type streamView struct {
	CaughtUp bool
	Error    string
}

type sectionView struct {
	List     string
	Title    string
	Singular string
	Help     string
	Count    int
	Findings int
	Columns  []string
	Active   bool
}

type listRow struct {
	Index    int
	Name     string
	Cells    []string
	Findings []plan.Finding
}

// render renders a page with the given status. The output is buffered so that an
// error in a template never sends a partial page.
func (c *Console) render(w http.ResponseWriter, status int, name string, p page) {
	var buffer bytes.Buffer
	if err := c.pages[name].ExecuteTemplate(&buffer, "layout", p); err != nil {
		log.Error().Str("step", "render").Str("page", name).Err(err).Msg("rendering the page failed")
		http.Error(w, "the page could not be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	// The error is ignored because it means that the client has disconnected.
	_, _ = w.Write(buffer.Bytes())
}

func (c *Console) renderError(w http.ResponseWriter, p page, status int, message string) {
	p.Title = "Request failed"
	p.Message = message
	p.Alert = true
	c.render(w, status, pageError, p)
}

func (c *Console) showLogin(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, pageLogin, page{Title: "Log in"})
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	p := page{
		Title: "Log in",
		Alert: true,
	}
	if !c.logins.Allow() {
		p.Message = "Too many login attempts. Wait a few seconds and try again."
		c.render(w, http.StatusTooManyRequests, pageLogin, p)
		return
	}
	if !c.sessions.isOperatorKey(r.PostFormValue("key")) {
		p.Message = "The operator key is wrong."
		c.render(w, http.StatusUnauthorized, pageLogin, p)
		return
	}
	c.sessions.start(w)
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (c *Console) logout(w http.ResponseWriter, r *http.Request, _ page) {
	c.sessions.end(w)
	http.Redirect(w, r, "/login", http.StatusSeeOther)
}

func (c *Console) showHome(w http.ResponseWriter, r *http.Request, p page) {
	p.Title = "Routing document"
	c.refresh(r.Context())
	p = c.withDocumentStatus(r, p)
	c.render(w, http.StatusOK, pageHome, p)
}

// refresh waits until the follower has read the log to its end, for at most
// refreshTimeout. On failure it only logs the error, because a page can still show the
// newest known document while the platform is unavailable.
func (c *Console) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := c.deps.Follower.Sync(ctx); err != nil {
		log.Warn().Str("step", "refresh").Err(err).Msg("reading the log failed")
	}
}

// withDocumentStatus returns p with the accepted document and the status of all
// instances.
func (c *Console) withDocumentStatus(r *http.Request, p page) page {
	p.Current = c.deps.Follower.Current()
	p.Accepted = c.deps.Follower.State().Newest()
	documentStatus := operator.DocumentStatusOf(c.deps.Follower)
	p.Stream.CaughtUp = documentStatus.CaughtUp
	if err := c.deps.Follower.Stream().Err; err != nil {
		p.Stream.Error = err.Error()
	}
	p.Instances = c.deps.Operators.StatusOfAll(r.Context(), c.deps.Config.Instances, statusTimeout)
	for _, instance := range p.Instances {
		if instance.Status != nil && instance.Status.Document.Version >= p.Accepted.Version {
			p.InForce++
		}
	}
	return p
}

func (c *Console) showDocument(w http.ResponseWriter, _ *http.Request, p page) {
	current := c.deps.Follower.Current()
	if current == nil {
		c.renderError(w, p, http.StatusNotFound, "No document has been accepted yet.")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Disposition", `attachment; filename="routing.json"`)
	// The error is ignored because it means that the client has disconnected.
	_, _ = w.Write(current.Document.Encode())
}
