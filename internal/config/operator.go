package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
	"ryepaddle/internal/match"
	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/yamldoc"
)

// Operator is the operator's file. It configures the uwsgi frontend, the servers behind it, the
// peers, and the storage, recording, logging and accounting of requests.
type Operator struct {
	// Listen is the address of the uwsgi frontend, as IP:PORT or unix:PATH.
	Listen string `yaml:"listen"`
	// HealthPath is the path of health checks that the runner itself answers; empty: none.
	HealthPath string      `yaml:"health_path"`
	Tenant     tenantRules `yaml:"tenant"`
	// KeyVariable is the variable with the idempotency key; default HTTP_X_DEDUPE_KEY.
	KeyVariable string `yaml:"key_var"`
	// FirstAttemptVariable is the variable with the time of a request's first attempt, in Unix
	// milliseconds; empty: none.
	FirstAttemptVariable string               `yaml:"first_var"`
	Limits               Limits               `yaml:"limits"`
	Inventory            string               `yaml:"inventory"` // path; empty: there are no servers
	Routes               []Route              `yaml:"routes"`
	TrafficRecording     TrafficRecording     `yaml:"record"`
	Routing              Routing              `yaml:"routing"`
	InventoryWatch       InventoryWatch       `yaml:"inventory_watch"`
	Store                Store                `yaml:"store"`
	Control              Control              `yaml:"control"`
	Log                  Log                  `yaml:"log"`
	Traces               Traces               `yaml:"traces"`
	Bulkheads            map[string]Bulkheads `yaml:"pools"` // by group
	Usage                Usage                `yaml:"usage"`
	Peers                Peers                `yaml:"peers"`
	// Expressions holds the texts of named expressions, which other expressions may use by name.
	Expressions map[string]string `yaml:"expressions"`

	// The fields below are derived from those above when the file is checked.

	Matcher       match.Matcher      `yaml:"-"` // finds the route of a request
	ListenAddr    netaddr.Addr       `yaml:"-"` // Listen, parsed
	Servers       []inventory.Server `yaml:"-"`
	InventoryPath string             `yaml:"-"` // absolute; empty: there is no inventory
	// InventoryFingerprint identifies the contents of the inventory that Servers was read from.
	InventoryFingerprint discovery.Fingerprint `yaml:"-"`
	// GroupByClass holds the group of each class that runs on uwsgi servers, by the name of the class.
	GroupByClass map[string]string `yaml:"-"`
	file         string
	document     *yamldoc.Document
}

// tenantRules configures how the tenant of a request is found.
type tenantRules struct {
	Variable   string `yaml:"var"`     // name of the variable with the tenant
	Default    string `yaml:"default"` // tenant of requests that name none
	Expression string `yaml:"from"`    // expression for the tenant; empty: Variable holds it
}

// resolvePath returns an absolute path. A relative one is relative to the folder of the operator's
// file.
func (o *Operator) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(o.file), path)
}

// resolveFolder resolves a path in place, and checks that it is a folder.
func (o *Operator) resolveFolder(field string, path *string) error {
	*path = o.resolvePath(*path)
	info, err := os.Stat(*path)
	switch {
	case err != nil:
		return o.document.Errorf(field, "%v", err)
	case !info.IsDir():
		return o.document.Errorf(field, "%s is not a folder", *path)
	}
	return nil
}

// HasUWSGIFrontend reports whether the file sets up the uwsgi frontend. A file need not do so if it
// sets up recording, the store, the control socket, traces, usage or peers.
func (o *Operator) HasUWSGIFrontend() bool {
	if o.Listen != "" {
		return true
	}
	other := o.TrafficRecording.Dir != "" || o.Store.Dir != "" || o.Control.Socket != "" ||
		o.Traces.File != "" || o.Usage.Dir != "" || o.Peers.Enabled()
	return !other
}

// ReadOperator reads the operator's file and checks it against the platform's file.
func ReadOperator(path string, p *Platform) (*Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadableKind.New("config: %w", err).At(path, 0, "")
	}
	return parseOperator(path, text, p)
}

// defaultOperator returns the defaults of all fields, which are the values of an empty file.
func defaultOperator() *Operator {
	return &Operator{
		KeyVariable:      "HTTP_X_DEDUPE_KEY",
		Tenant:           tenantRules{Variable: "HTTP_X_CUSTOMER"},
		Limits:           defaultLimits(),
		TrafficRecording: TrafficRecording{MaxMB: 64, Queue: 4096},
		Routing:          defaultRouting(),
		Control:          Control{ExplainKB: 1024},
		Traces:           Traces{MaxMB: 64, SampleRatio: 0.01, MaxPerSecond: 100, Queue: 1024},
		Log:              Log{Format: logging.FormatText, Levels: "all=info"},
		Store:            Store{Mode: "group", WaitMs: 2, TimeoutMs: 500, SegmentMB: 8, SlackMB: 16},
		Usage:            defaultUsage(),
		Peers:            defaultPeers(),
		InventoryWatch:   InventoryWatch{IntervalS: 5, SettleMs: 1000, MaxShrink: 0.5},
		GroupByClass:     map[string]string{},
	}
}

// parseOperator decodes and checks the text of an operator's file.
func parseOperator(path string, text []byte, p *Platform) (*Operator, error) {
	o := defaultOperator()
	o.file = path
	var err error
	if o.document, err = yamldoc.Decode("config", path, text, o); err != nil {
		return nil, err
	}
	for _, check := range []func(*Platform) error{
		o.checkBounds,
		o.checkUWSGIFrontend,
		o.checkLimits,
		o.checkInventory,
		o.checkRoutes,
		o.compileExpressions,
		o.checkRouting,
		o.checkTrafficRecording,
		o.checkStore,
		o.checkControl,
		o.checkLog,
		o.checkTraces,
		o.checkBulkheads,
		o.checkUsage,
		o.checkPeers,
	} {
		if err := check(p); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// checkUWSGIFrontend checks the address, the health path and the default tenant of the frontend.
func (o *Operator) checkUWSGIFrontend(p *Platform) (err error) {
	if !o.HasUWSGIFrontend() {
		return nil
	}
	if o.ListenAddr, err = netaddr.Parse(o.Listen); err != nil {
		return o.document.Errorf("listen", "%v", err)
	}
	if o.HealthPath != "" && !strings.HasPrefix(o.HealthPath, "/") {
		return o.document.Errorf("health_path", "%q does not begin with /", o.HealthPath)
	}
	known := func(t admission.Tenant) bool { return t.Name == o.Tenant.Default }
	if o.Tenant.Default != "" && !slices.ContainsFunc(p.Settings.Tenants, known) {
		return o.document.Errorf("tenant.default", "unknown tenant %q", o.Tenant.Default)
	}
	return nil
}
