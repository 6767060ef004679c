package snapshot

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of single fields. They are far above the target scale and keep a
// mistyped value from exhausting memory.
const (
	// MaxNameBytes bounds every name.
	MaxNameBytes = 128
	// MaxTextBytes bounds paths, headings and other text.
	MaxTextBytes = 512
	// MaxDeadlineMs is ten minutes.
	MaxDeadlineMs = 10 * 60 * 1000
	// MaxQueueLimit bounds the requests waiting at one pool.
	MaxQueueLimit = 1_000_000
	// MaxShards bounds the pools of a service in one data centre.
	MaxShards = 256
	// MaxSlots bounds the slots of a backend server.
	MaxSlots = 10_000
	// MaxConnections bounds the connections to a backend server.
	MaxConnections = 1_000_000
	// MaxColumns bounds the columns of a report.
	MaxColumns = 256
	// MaxMethods bounds the methods of a route.
	MaxMethods = 32
)

const expectName = "1 to 128 letters, digits, '.', '_' or '-'"

// Validate checks every object by itself and that no name occurs twice. The
// error is a *ValidationError with all mistakes. Defaults must have been
// filled in by Normalized.
func (o Objects) Validate() error {
	m := &mistakes{}
	m.objects(o)
	return m.err()
}

// objects collects the mistakes that Objects.Validate reports.
func (m *mistakes) objects(o Objects) {
	each(m, o.Services, (*mistakes).service)
	each(m, o.Servers, (*mistakes).server)
	each(m, o.Routes, (*mistakes).route)
	each(m, o.Workspaces, (*mistakes).workspace)
	each(m, o.ReportLayouts, (*mistakes).layout)
}

func each[T object](m *mistakes, objects []T, check func(*mistakes, T)) {
	seen := make(map[string]bool, len(objects))
	for _, o := range objects {
		m.object = o.Ref()
		name := m.object.Name
		m.require(isName(name), "name", name, expectName)
		m.require(!seen[name], "name", name, "a name that occurs once")
		seen[name] = true
		check(m, o)
	}
	m.object = Ref{}
}

func (m *mistakes) service(s Service) {
	m.share("floor.share", s.Floor.Share)
	m.count("floor.minServers", s.Floor.MinServers, 0, MaxSlots)
	m.require(s.Policy == PolicyRidemark || s.Policy == PolicyConsortium, "policy", s.Policy, "ridemark or consortium")
	m.count("deadlineMs", s.DeadlineMs, 1, MaxDeadlineMs)
	m.share("retryBudgetShare", s.RetryBudgetShare)
	m.count("queueLimit", s.QueueLimit, 1, MaxQueueLimit)
	m.count("shards", s.Shards, 1, MaxShards)
	m.require(s.CancelPath == "" || isPath(s.CancelPath), "cancelPath", s.CancelPath, "an absolute path")
	m.require(s.ShedHeader == "" || isHeader(s.ShedHeader), "shedHeader", s.ShedHeader, `"Name" or "Name: value"`)
}

func (m *mistakes) server(s Server) {
	m.require(isName(string(s.Service)), "service", s.Service, expectName)
	m.require(isName(string(s.DataCentre)), "dataCentre", s.DataCentre, expectName)
	m.require(isAddress(s.Address), "address", s.Address, "ip:port of one host")
	m.count("slots", s.Slots, 1, MaxSlots)
	// A slot needs a connection of its own, since attempts use HTTP/1.1.
	m.count("connections", s.Connections, max(s.Slots, 1), MaxConnections)
	known := s.State == ServerActive || s.State == ServerDraining || s.State == ServerEjected
	m.require(known, "state", s.State, "active, draining or ejected")
}

func (m *mistakes) route(r Route) {
	m.require(r.Host == "" || isHost(r.Host), "host", r.Host, "a lower-case host name without a port")
	m.require(isPath(r.PathPrefix), "pathPrefix", r.PathPrefix, "an absolute path")
	m.require(len(r.Methods) <= MaxMethods, "methods", len(r.Methods), "at most 32 methods")
	seen := map[string]bool{}
	for _, method := range r.Methods {
		m.require(isMethod(method) && !seen[method], "methods", method, "upper-case HTTP methods, each once")
		seen[method] = true
	}
	m.require(isName(string(r.Service)), "service", r.Service, expectName)
	m.rate("ratePerSecond", r.RatePerSecond)
	if r.IssueKeysFor != "" {
		m.require(isName(string(r.IssueKeysFor)), "issueKeysFor", r.IssueKeysFor, expectName)
		m.require(r.Repeatable, "repeatable", r.Repeatable, "true, because the route issues keys")
	}
}

func (m *mistakes) workspace(w Workspace) {
	const maxWeight = 1e6
	m.require(w.Weight > 0 && w.Weight <= maxWeight, "weight", w.Weight, "over 0, at most 1000000")
	m.rate("ratePerSecond", w.RatePerSecond)
}

func (m *mistakes) layout(l ReportLayout) {
	m.require(len(l.Columns) >= 1 && len(l.Columns) <= MaxColumns, "columns", len(l.Columns), "1 to 256 columns")
	for i, c := range l.Columns {
		field := fmt.Sprintf("columns.%d.", i)
		m.require(c.Heading != "" && isText(c.Heading), field+"heading", c.Heading, "printable text of at most 512 bytes")
		m.require(isName(c.Field), field+"field", c.Field, expectName)
		m.require(len(c.Format) <= MaxNameBytes && strings.Trim(c.Format, "0#.,%") == "", field+"format", c.Format, "a number format such as 0.00")
	}
	separator := utf8.RuneCountInString(l.Separator)
	usable := separator == 0 || (separator == 1 && utf8.ValidString(l.Separator) && !strings.ContainsAny(l.Separator, "\"\r\n"))
	m.require(usable, "separator", l.Separator, "one character other than a quote or a line end")
	m.require(l.Decimal == "" || l.Decimal == "." || l.Decimal == ",", "decimal", l.Decimal, "'.' or ','")
	m.require(l.Decimal == "" || l.Decimal != l.Separator, "decimal", l.Decimal, "a character other than the separator")
}

func (m *mistakes) count(field string, v, low, high int) {
	m.require(v >= low && v <= high, field, v, fmt.Sprintf("%d to %d", low, high))
}

func (m *mistakes) share(field string, v float64) {
	m.require(v >= 0 && v <= 1, field, v, "0 to 1")
}

func (m *mistakes) rate(field string, v float64) {
	m.require(v >= 0 && !math.IsInf(v, 1), field, v, "at least 0; 0 is no limit")
}

func isName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !isWord(r) && r != '.' && r != '_' && r != '-' }) < 0
}

func isWord(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

func isText(s string) bool {
	printable := func(r rune) bool { return unicode.IsPrint(r) }
	return len(s) <= MaxTextBytes && utf8.ValidString(s) && strings.IndexFunc(s, func(r rune) bool { return !printable(r) }) < 0
}

// isPath accepts absolute paths of printable ASCII without a query, fragment,
// empty segment or dot segment.
func isPath(s string) bool {
	if !strings.HasPrefix(s, "/") || len(s) > MaxTextBytes {
		return false
	}
	if strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' || r == '?' || r == '#' }) >= 0 {
		return false
	}
	for _, segment := range strings.Split(s, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return !strings.Contains(s, "//")
}

func isHost(s string) bool {
	lower := s == strings.ToLower(s) && len(s) <= MaxNameBytes
	return lower && strings.IndexFunc(s, func(r rune) bool { return !isWord(r) && r != '.' && r != '-' }) < 0
}

func isMethod(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' }) < 0
}

// isHeader accepts a header name, optionally followed by a colon and a value.
func isHeader(s string) bool {
	name, value, _ := strings.Cut(s, ":")
	named := name != "" && strings.IndexFunc(name, func(r rune) bool { return !isWord(r) && r != '-' && r != '_' }) < 0
	return named && isText(s) && isText(value)
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
