package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/discovery"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/inventory"
	"ryepaddle/internal/match"
	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/yamldoc"
)

// Operator is the operator's file: the second front and the servers that it reaches.
type Operator struct {
	Listen      string `yaml:"listen"`
	HealthPath  string `yaml:"health_path"`
	Tenant      tenant `yaml:"tenant"`
	KeyVariable string `yaml:"key_var"`
	// the time at which a request was asked for first, as Unix milliseconds; empty: nobody says
	FirstAttemptVariable string               `yaml:"first_var"`
	Limits               Limits               `yaml:"limits"`
	Inventory            string               `yaml:"inventory"`
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
	Expressions          map[string]string    `yaml:"expressions"` // by the names under which others use them
	Matcher              match.Matcher        `yaml:"-"`           // to the routes
	file                 string
	doc                  *yamldoc.Document
	ListenAddr           netaddr.Addr          `yaml:"-"`
	Servers              []inventory.Server    `yaml:"-"`
	InventoryPath        string                `yaml:"-"` // where the inventory is; empty: there is none
	InventoryFingerprint discovery.Fingerprint `yaml:"-"` // of the inventory's files, as they were read
	// class name to group, for classes that run on uwsgi servers
	GroupByClass map[string]string `yaml:"-"`
}

type tenant struct {
	Var     string `yaml:"var"`
	Default string `yaml:"default"`
	From    string `yaml:"from"` // an expression; empty: the variable says it
}

// Limits bound what the second front and its servers may take.
type Limits struct {
	Connections int `yaml:"connections"`
	// connections of one caller's address; 0: no bound of its own
	PerAddress           int `yaml:"per_address"`
	ServerConnections    int `yaml:"server_connections"`
	PreopenedConnections int `yaml:"server_ahead"` // of them are opened before requests come
	VarsKB               int `yaml:"vars_kb"`
	BodyKB               int `yaml:"body_kb"`
	ResponseKB           int `yaml:"response_kb"` // gathered whole; what is larger streams
	CachedResultKB       int `yaml:"keep_kb"`     // of the result of a keyed one, for its repeats
	// a body up to this may stream to a server, where that is safe; 0: none
	UploadMB  int     `yaml:"upload_mb"`
	StreamKB  int     `yaml:"stream_kb"` // of a response that streams, for one slow reader
	StreamMB  int     `yaml:"stream_mb"` // and for all of them
	RequestKB float64 `yaml:"request_kb"`
	ReadMs    int64   `yaml:"read_ms"`
	ConnectMs int64   `yaml:"connect_ms"`
	Attempts  int     `yaml:"tries"`
}

// TrafficRecording turns the recording of traffic on, for the simulator.
type TrafficRecording struct {
	Dir   string `yaml:"dir"` // where a new file is begun at each start; empty: off
	MaxMB int    `yaml:"max_mb"`
	Queue int    `yaml:"queue"` // requests in memory that are not yet written
}

// Control is how a running program can be asked.
type Control struct {
	Socket    string `yaml:"socket"`     // path of a unix socket; empty: it cannot
	ExplainKB int    `yaml:"explain_kb"` // memory for what became of recent requests
}

// Log is what is told of the running program, and how.
type Log struct {
	Format string `yaml:"format" jsonschema:"enum=text,enum=json"`
	Levels string `yaml:"levels"` // such as "all=info upstream=debug"
}

// Traces turns the writing of spans on.
type Traces struct {
	File  string `yaml:"file"` // empty: none are written
	MaxMB int64  `yaml:"max_mb"`
	// of the requests whose callers do not say whether they are traced
	SampleRatio  float64 `yaml:"share"`
	MaxPerSecond int     `yaml:"per_second"` // requests of a class and an end
	Queue        int     `yaml:"queue"`      // requests in memory whose spans are not yet written
}

func (o *Operator) checkTraces(*Platform) error {
	t := &o.Traces
	if t.File == "" {
		return nil
	}
	if !filepath.IsAbs(t.File) {
		t.File = filepath.Join(filepath.Dir(o.file), t.File)
	}
	dir := filepath.Dir(t.File)
	return o.checkFolder("traces.file", &dir)
}

func (o *Operator) checkLog(*Platform) error {
	if o.Log.Format != logging.FormatText && o.Log.Format != logging.FormatJSON {
		return o.doc.Errorf("log.format", "%q is neither text nor json", o.Log.Format)
	}
	if _, err := logging.ParseLevels(strings.Fields(o.Log.Levels)); err != nil {
		return o.doc.Errorf("log.levels", "%v", err)
	}
	return nil
}

func (o *Operator) checkControl(p *Platform) error {
	c := &o.Control
	if c.Socket == "" {
		return nil
	}
	if !filepath.IsAbs(c.Socket) {
		c.Socket = filepath.Join(filepath.Dir(o.file), c.Socket)
	}
	if _, err := netaddr.Parse("unix:" + c.Socket); err != nil {
		return o.doc.Errorf("control.socket", "%v", err)
	}
	if c.ExplainKB > p.MemoryMB<<10/8 {
		return o.doc.Errorf(
			"control.explain_kb",
			"%d is over an eighth of memory_mb, %d",
			c.ExplainKB,
			p.MemoryMB<<10/8,
		)
	}
	return nil
}

// Store turns the keeping of keys on a disk on.
type Store struct {
	Dir  string `yaml:"dir"`  // empty: keys are forgotten with the process
	Mode string `yaml:"mode"` // always, group or none
	// group: how long a key waits for others to share a sync with
	WaitMs    float64 `yaml:"wait_ms"`
	TimeoutMs int64   `yaml:"patience_ms"` // a run or an answer waits for the disk
	SegmentMB int64   `yaml:"segment_mb"`
	SlackMB   int64   `yaml:"slack_mb"` // that the journal may have beside twice what is in it
}

// Settings are those of the store.
func (s *Store) Settings(repair bool) store.Settings {
	set := store.Usual()
	set.Mode, _ = store.ParseMode(s.Mode) // checked with the file
	set.Wait = time.Duration(s.WaitMs * float64(time.Millisecond))
	set.Segment, set.Slack, set.Repair = s.SegmentMB<<20, s.SlackMB<<20, repair
	return set
}

func (o *Operator) checkStore(*Platform) error {
	s := &o.Store
	if s.Dir == "" {
		return nil
	}
	if _, err := store.ParseMode(s.Mode); err != nil {
		return o.doc.Errorf("store.mode", "%v", err)
	}
	return o.checkFolder("store.dir", &s.Dir)
}

// checkFolder has a path be that of a folder, from where the file is.
func (o *Operator) checkFolder(field string, path *string) error {
	if !filepath.IsAbs(*path) {
		*path = filepath.Join(filepath.Dir(o.file), *path)
	}
	info, err := os.Stat(*path)
	switch {
	case err != nil:
		return o.doc.Errorf(field, "%v", err)
	case !info.IsDir():
		return o.doc.Errorf(field, "%s is no folder", *path)
	}
	return nil
}

// HasUWSGIFrontend tells whether the file sets up the second front. One that only records, keeps keys or
// can be asked need not.
func (o *Operator) HasUWSGIFrontend() bool {
	return o.Listen != "" ||
		o.TrafficRecording.Dir == "" && o.Store.Dir == "" && o.Control.Socket == "" && o.Traces.File == "" && o.Usage.Dir == "" &&
			!o.Peers.Enabled()
}

// Flow is how responses pass.
func (l *Limits) Flow() flowcontrol.Limits {
	return flowcontrol.Limits{
		MaxBuffered:     l.ResponseKB << 10,
		MaxCached:       max(l.CachedResultKB, l.ResponseKB) << 10,
		MaxQueued:       l.StreamKB << 10,
		MaxQueuedTotal:  l.StreamMB << 20,
		MaxBufferedBody: l.BodyKB << 10,
		MaxStreamedBody: l.UploadMB << 20,
	}
}

// Route leads the paths below a prefix to a class, and its requests to a group of servers. Without a
// group they run on the platform's engine.
type Route struct {
	Path       string `yaml:"path"`
	Class      string `yaml:"class"`
	Group      string `yaml:"group"`
	DeadlineMs int64  `yaml:"deadline_ms"`
	// an expression that has to hold; empty: all below the path
	Condition     string            `yaml:"when"`
	Key           string            `yaml:"key"` // an expression for the dedupe key; empty: key_var
	KeyExpression *match.Expression `yaml:"-"`
}

// ReadOperator reads and checks the operator's file beside what the platform has told.
func ReadOperator(path string, p *Platform) (*Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable.New("config: %w", err).At(path, 0, "")
	}
	return parseOperator(path, text, p)
}

// standardOperator is a file that says nothing.
func standardOperator() *Operator {
	return &Operator{KeyVariable: "HTTP_X_DEDUPE_KEY", Tenant: tenant{Var: "HTTP_X_CUSTOMER"},
		Limits: Limits{
			Connections:       128,
			ServerConnections: 64,
			VarsKB:            16,
			BodyKB:            64,
			ResponseKB:        64,
			CachedResultKB:    128,
			UploadMB:          64,
			StreamKB:          128,
			StreamMB:          4,
			RequestKB:         32,
			ReadMs:            2500,
			ConnectMs:         1000,
			Attempts:          2,
		}, TrafficRecording: TrafficRecording{MaxMB: 64, Queue: 4096}, Routing: standardRouting(),
		Control: Control{
			ExplainKB: 1024,
		}, Traces: Traces{MaxMB: 64, SampleRatio: 0.01, MaxPerSecond: 100, Queue: 1024},
		Log:   Log{Format: logging.FormatText, Levels: "all=info"},
		Store: Store{Mode: "group", WaitMs: 2, TimeoutMs: 500, SegmentMB: 8, SlackMB: 16},
		Usage: standardUsage(),
		Peers: Peers{
			Replicas:          2,
			Slots:             64,
			TimeoutMs:         500,
			RepairKBPerSecond: 4096,
			MeshSize:          32,
			Leases:            Leases{Each: 4, AgainS: 10},
		},
		InventoryWatch: InventoryWatch{IntervalS: 5, SettleMs: 1000, MaxShrink: 0.5},
		GroupByClass:   map[string]string{}}
}

func parseOperator(path string, text []byte, p *Platform) (*Operator, error) {
	o := standardOperator()
	o.file = path
	var err error
	if o.doc, err = yamldoc.Decode("config", path, text, o); err != nil {
		return nil, err
	}
	for _, check := range []func(*Platform) error{
		o.checkBounds,
		o.checkFront,
		o.checkLimits,
		o.checkInventory,
		o.checkRoutes,
		o.checkMatch,
		o.checkRouting,
		o.checkRecord,
		o.checkStore,
		o.checkControl,
		o.checkLog,
		o.checkTraces,
		o.checkPools,
		o.checkUsage,
		o.checkPeers,
	} {
		if err := check(p); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// CheckComplete reports what is missing for each class to run somewhere. The operator's file may be nil.
func CheckComplete(p *Platform, o *Operator) error {
	for _, c := range p.Settings.Classes {
		switch {
		case o != nil && o.GroupByClass[c.Name] != "":
		case !p.Engine.IsValid():
			return field.New("config: field engine: missing, and class %s runs on no other servers", c.Name)
		case c.CallsDependency && p.Settings.Dependency != admission.DependencyNone && !p.Backend.IsValid():
			return field.New("config: field backend: missing, and class %s calls it", c.Name)
		}
	}
	return nil
}

func (o *Operator) checkRecord(*Platform) error {
	r := &o.TrafficRecording
	if r.Dir == "" {
		return nil
	}
	return o.checkFolder("record.dir", &r.Dir)
}

func (o *Operator) checkFront(p *Platform) (err error) {
	if !o.HasUWSGIFrontend() {
		return nil
	}
	if o.ListenAddr, err = netaddr.Parse(o.Listen); err != nil {
		return o.doc.Errorf("listen", "%v", err)
	}
	if o.HealthPath != "" && !strings.HasPrefix(o.HealthPath, "/") {
		return o.doc.Errorf("health_path", "%q does not begin with /", o.HealthPath)
	}
	known := func(t admission.Tenant) bool { return t.Name == o.Tenant.Default }
	if o.Tenant.Default != "" && !slices.ContainsFunc(p.Settings.Tenants, known) {
		return o.doc.Errorf("tenant.default", "unknown tenant %q", o.Tenant.Default)
	}
	return nil
}

func (o *Operator) checkLimits(p *Platform) error {
	l := &o.Limits
	// Each caller may have a request, its body, and a response on the way in and out.
	need := l.Connections * (l.VarsKB + 2*l.BodyKB + 2*max(l.ResponseKB, l.CachedResultKB/2)) / 1024
	if need > p.MemoryMB/4 {
		return o.doc.Errorf(
			"limits",
			"connections of that size may need %d MB, over a quarter of memory_mb",
			need,
		)
	}
	if l.StreamMB > p.MemoryMB/8 {
		return o.doc.Errorf("limits.stream_mb", "%d is over an eighth of memory_mb", l.StreamMB)
	}
	// The platform's balancers may open half; a quarter is for this front and as many connections
	// to servers.
	if l.Connections > p.MaxDescriptors/8 {
		return o.doc.Errorf(
			"limits.connections",
			"%d is over an eighth of the %d sockets",
			l.Connections,
			p.MaxDescriptors,
		)
	}
	return nil
}

func (o *Operator) checkInventory(*Platform) (err error) {
	if o.Inventory == "" {
		return nil
	}
	path := o.Inventory
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(o.file), path)
	}
	o.InventoryPath = path
	if o.InventoryFingerprint, err = discovery.FingerprintOf(path); err != nil {
		return o.doc.Errorf("inventory", "%v", err)
	}
	if o.Servers, err = inventory.Read(path); err != nil {
		var at *inventory.Error
		if errors.As(err, &at) {
			return err // it names its own file and line
		}
		return o.doc.Errorf("inventory", "%v", err)
	}
	return nil
}

// WithServers is the same file with another list of servers, checked as a whole.
func (o *Operator) WithServers(
	mark discovery.Fingerprint,
	servers []inventory.Server,
	p *Platform,
) (*Operator, error) {
	next := *o
	next.InventoryFingerprint, next.Servers, next.GroupByClass = mark, servers, map[string]string{}
	if err := next.checkRoutes(p); err != nil {
		return nil, err
	}
	return &next, nil
}

func (o *Operator) checkRoutes(p *Platform) error {
	if !o.HasUWSGIFrontend() && len(o.Routes) == 0 {
		return nil
	}
	if len(o.Routes) == 0 {
		return o.doc.Errorf("routes", "missing")
	}
	byClass := map[string]string{}
	for i, r := range o.Routes {
		at := "routes." + strconv.Itoa(i)
		class := slices.IndexFunc(
			p.Settings.Classes,
			func(c admission.Class) bool { return c.Name == r.Class },
		)
		group, known := byClass[r.Class]
		inGroup := func(s inventory.Server) bool { return s.Weight > 0 && slices.Contains(s.Groups, r.Group) }
		switch {
		case !strings.HasPrefix(r.Path, "/"):
			return o.doc.Errorf(at+".path", "%q does not begin with /", r.Path)
		case class < 0:
			return o.doc.Errorf(at+".class", "unknown class %q", r.Class)
		case known && group != r.Group:
			return o.doc.Errorf(
				at+".group",
				"class %s goes to %q elsewhere: its keys need one place",
				r.Class,
				group,
			)
		case r.Group != "" && !slices.ContainsFunc(o.Servers, inGroup):
			return o.doc.Errorf(at+".group", "no enabled server of the inventory is in %q", r.Group)
		case r.Group == "" && !p.Engine.IsValid():
			return o.doc.Errorf(at+".group", "missing, and the platform names no engine")
		case r.DeadlineMs < 0 || r.DeadlineMs*1000 > p.Settings.Classes[class].Timeout.Microseconds():
			return o.doc.Errorf(at+".deadline_ms", "%d is not from 1 to the class's %d", r.DeadlineMs,
				p.Settings.Classes[class].Timeout.Milliseconds())
		}
		byClass[r.Class] = r.Group
		if r.Group != "" {
			o.GroupByClass[r.Class] = r.Group
		}
	}
	return nil
}
