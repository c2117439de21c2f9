package console

import (
	"bytes"
	"context"
	"net/http"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
)

// page is what a template shows.
type page struct {
	Title    string
	Token    string
	SignedIn bool
	// Message is shown on top, as an alert when Alert is set.
	Message string
	Alert   bool

	Current   *plan.Current
	Stream    streamView
	Instances []operator.InstanceStatus
	// InForce counts the instances that have the current document in force.
	InForce int

	// Draft is the encoded draft, Sections its lists.
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
	// CanRebase is set when the draft can be put on the accepted document.
	CanRebase bool
	// CanAsk is set when the outcome can be asked for again.
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

// show renders a page. It is rendered as a whole first, so that a fault never
// leaves half a page.
func (c *Console) show(w http.ResponseWriter, status int, name string, p page) {
	var buffer bytes.Buffer
	if err := c.pages[name].ExecuteTemplate(&buffer, "layout", p); err != nil {
		log.Error().Str("step", "render").Str("page", name).Err(err).Msg("page not rendered")
		http.Error(w, "the page could not be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	// The browser sees a cut page, there is nobody else to tell.
	_, _ = w.Write(buffer.Bytes())
}

func (c *Console) fail(w http.ResponseWriter, p page, status int, message string) {
	p.Title = "Not done"
	p.Message = message
	p.Alert = true
	c.show(w, status, pageError, p)
}

func (c *Console) showLogin(w http.ResponseWriter, _ *http.Request) {
	c.show(w, http.StatusOK, pageLogin, page{Title: "Log in"})
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	p := page{
		Title: "Log in",
		Alert: true,
	}
	if !c.logins.Allow() {
		p.Message = "Too many tries. Wait a few seconds and try again."
		c.show(w, http.StatusTooManyRequests, pageLogin, p)
		return
	}
	if !c.sessions.opens(r.PostFormValue("key")) {
		p.Message = "This is not the operator's key."
		c.show(w, http.StatusUnauthorized, pageLogin, p)
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
	p = c.withAccepted(r, p)
	c.show(w, http.StatusOK, pageHome, p)
}

// refresh reads the log to its end. While the platform is away the newest
// document known is good enough to be shown.
func (c *Console) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := c.deps.Follower.Sync(ctx); err != nil {
		log.Warn().Str("step", "refresh").Err(err).Msg("log not read")
	}
}

// withAccepted adds the accepted document and the instances that have it.
func (c *Console) withAccepted(r *http.Request, p page) page {
	p.Current = c.deps.Follower.Current()
	p.Accepted = c.deps.Follower.State().Newest()
	status := operator.DocumentStatusOf(c.deps.Follower)
	p.Stream.CaughtUp = status.CaughtUp
	if err := c.deps.Follower.Stream().Err; err != nil {
		p.Stream.Error = err.Error()
	}
	p.Instances = c.deps.Operators.StatusOfAll(r.Context(), c.deps.Config.Instances, statusTimeout)
	for _, answer := range p.Instances {
		if answer.Status != nil && answer.Status.Document.Version >= p.Accepted.Version {
			p.InForce++
		}
	}
	return p
}

func (c *Console) showDocument(w http.ResponseWriter, _ *http.Request, p page) {
	current := c.deps.Follower.Current()
	if current == nil {
		c.fail(w, p, http.StatusNotFound, "No document has been accepted yet.")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Disposition", `attachment; filename="routing.json"`)
	// The browser sees a cut file, there is nobody else to tell.
	_, _ = w.Write(current.Document.Encode())
}
