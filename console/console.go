// Package console implements the web interface in which operators edit, review
// and publish the routing document. A document takes effect only after it has
// been published to the platform's log and accepted there.
//
// The console is stateless, so several consoles can run behind one load
// balancer: a session is a signed cookie, and the forms carry the draft of the
// document as a hidden field.
//
// # Usage
//
//	c, err := console.New(console.Deps{
//		Config:    cfg,
//		Log:       client,
//		Follower:  follower, // running
//		Operators: operator.NewClient(cfg.OperatorKey, transport.NewClient()),
//	})
//	server := &http.Server{Handler: c.Handler()}
package console

import (
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
)

//go:embed templates static
var assets embed.FS

const (
	// statusTimeout is the timeout of a status call to one instance.
	statusTimeout = 2 * time.Second
	// refreshTimeout is the timeout for reading the log before a page is rendered.
	refreshTimeout = time.Second
	// loginsPerSecond and loginBurst limit the login attempts at one console, to slow
	// down guessing of the key.
	loginsPerSecond = 2
	loginBurst      = 10
)

// Deps are the dependencies of a Console.
type Deps struct {
	Config Config
	Log    ledger.Log
	// Follower provides the accepted document. It must be running while the console
	// is used.
	Follower  *plan.Follower
	Operators *operator.Client
}

// Console serves the operators' pages.
type Console struct {
	deps     Deps
	sessions *sessionManager
	logins   *rate.Limiter
	pages    map[string]*template.Template
}

// The names of the pages, which are also the base names of their template files.
const (
	pageLogin    = "login"
	pageHome     = "home"
	pageOverview = "overview"
	pageList     = "list"
	pageEntry    = "entry"
	pageReview   = "review"
	pageOutcome  = "outcome"
	pageError    = "error"
)

// New returns a Console. It returns an error if a template cannot be parsed.
func New(deps Deps) (*Console, error) {
	c := &Console{
		deps:     deps,
		sessions: newSessionManager(deps.Config),
		logins:   rate.NewLimiter(loginsPerSecond, loginBurst),
		pages:    map[string]*template.Template{},
	}
	names := []string{pageLogin, pageHome, pageOverview, pageList, pageEntry, pageReview, pageOutcome, pageError}
	for _, name := range names {
		page, err := template.ParseFS(assets, "templates/layout.html", "templates/parts.html", "templates/"+name+".html")
		if err != nil {
			return nil, fmt.Errorf("parse page %s: %w", name, err)
		}
		c.pages[name] = page
	}
	return c, nil
}

// Handler returns the HTTP handler that serves all pages.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /static/", http.FileServerFS(assets))
	mux.HandleFunc("GET /login", c.showLogin)
	mux.HandleFunc("POST /login", c.login)
	mux.Handle("POST /logout", c.requireSession(c.logout))
	mux.Handle("GET /{$}", c.requireSession(c.showHome))
	mux.Handle("GET /document", c.requireSession(c.showDocument))
	mux.Handle("POST /draft", c.requireSession(c.handleDraft))
	return withSecurityHeaders(http.NewCrossOriginProtection().Handler(mux))
}

// withSecurityHeaders sets the security headers of every response and limits the size
// of request bodies.
func withSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("X-Frame-Options", "DENY")
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// sessionHandler handles a request with a valid session. The form of a POST request
// has been parsed, and its form token has been verified.
type sessionHandler func(w http.ResponseWriter, r *http.Request, p page)

// requireSession redirects requests without a valid session to the login page. It
// rejects POST requests without the form token of the session.
func (c *Console) requireSession(next sessionHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		session, ok := c.sessions.authenticate(r)
		if !ok {
			http.Redirect(w, r, "/login", http.StatusSeeOther)
			return
		}
		p := page{
			Token:    c.sessions.formToken(session),
			SignedIn: true,
		}
		if r.Method != http.MethodPost {
			next(w, r, p)
			return
		}
		if err := r.ParseForm(); err != nil {
			c.renderError(w, p, http.StatusRequestEntityTooLarge, "The form could not be read: "+err.Error())
			return
		}
		if !c.sessions.isFormToken(session, r.PostForm.Get("token")) {
			c.renderError(w, p, http.StatusForbidden, "This form does not belong to your session. Go back to the start page and try again.")
			return
		}
		next(w, r, p)
	})
}
