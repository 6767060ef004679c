package snapshot

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/agateusher/agateusher/core/model"
)

// Limits of single fields. They are far above the target scale; they prevent a
// mistyped value from exhausting memory.
const (
	// MaxNameBytes bounds every name.
	MaxNameBytes = 128
	// MaxTextBytes bounds paths, headings and other text.
	MaxTextBytes = 512
	// MaxDeadlineMs bounds the deadline of a request, in milliseconds: 10 minutes.
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

const nameSyntax = "1 to 128 letters, digits, '.', '_' or '-'"

// Validate checks the fields of every object, and that names are unique within a
// kind. It does not check references between objects. The objects must have been
// filled with defaults by Normalized. The error is a *ValidationError that lists
// all violations.
func (o Objects) Validate() error {
	v := &validator{}
	v.objects(o)
	return v.err()
}

// objects checks what Objects.Validate checks.
func (v *validator) objects(o Objects) {
	validateEach(v, o.Services, (*validator).service)
	validateEach(v, o.Servers, (*validator).server)
	validateEach(v, o.Routes, (*validator).route)
	validateEach(v, o.Workspaces, (*validator).workspace)
	validateEach(v, o.ReportLayouts, (*validator).layout)
}

func validateEach[T object](v *validator, objects []T, check func(*validator, T)) {
	seen := make(map[string]bool, len(objects))
	for _, o := range objects {
		v.object = o.Ref()
		name := v.object.Name
		v.require(isName(name), "name", name, nameSyntax)
		v.require(!seen[name], "name", name, "a unique name")
		seen[name] = true
		check(v, o)
	}
	v.object = Ref{}
}

func (v *validator) service(s Service) {
	v.share("floor.share", s.Floor.Share)
	v.count("floor.minServers", s.Floor.MinServers, 0, MaxSlots)
	v.require(s.Policy == PolicyRidemark || s.Policy == PolicyConsortium, "policy", s.Policy, "ridemark or consortium")
	v.count("deadlineMs", s.DeadlineMs, 1, MaxDeadlineMs)
	v.share("retryBudgetShare", s.RetryBudgetShare)
	v.count("queueLimit", s.QueueLimit, 1, MaxQueueLimit)
	v.count("shards", s.Shards, 1, MaxShards)
	v.require(s.CancelPath == "" || isPath(s.CancelPath), "cancelPath", s.CancelPath, "an absolute path")
	v.require(s.ShedHeader == "" || isHeader(s.ShedHeader), "shedHeader", s.ShedHeader, `"Name" or "Name: value"`)
}

func (v *validator) server(s Server) {
	v.require(isName(string(s.Service)), "service", s.Service, nameSyntax)
	v.require(isName(string(s.DataCentre)), "dataCentre", s.DataCentre, nameSyntax)
	v.require(isAddress(s.Address), "address", s.Address, "ip:port of one host")
	v.count("slots", s.Slots, 1, MaxSlots)
	// Attempts use HTTP/1.1, so each slot needs its own connection.
	v.count("connections", s.Connections, max(s.Slots, 1), MaxConnections)
	known := s.State == ServerActive || s.State == ServerDraining || s.State == ServerEjected
	v.require(known, "state", s.State, "active, draining or ejected")
}

func (v *validator) route(r Route) {
	v.require(r.Host == "" || isHost(r.Host), "host", r.Host, "a lower-case host name without a port")
	v.require(isPath(r.PathPrefix), "pathPrefix", r.PathPrefix, "an absolute path")
	v.require(len(r.Methods) <= MaxMethods, "methods", len(r.Methods), "at most 32 methods")
	seen := map[string]bool{}
	for _, method := range r.Methods {
		v.require(isMethod(method) && !seen[method], "methods", method, "upper-case HTTP methods, each once")
		seen[method] = true
	}
	if len(r.Split) == 0 {
		v.require(isName(string(r.Service)), "service", r.Service, nameSyntax)
	} else {
		v.split(r)
	}
	v.rate("ratePerSecond", r.RatePerSecond)
	if r.IssueKeysFor != "" {
		v.require(isName(string(r.IssueKeysFor)), "issueKeysFor", r.IssueKeysFor, nameSyntax)
		v.require(r.Repeatable, "repeatable", r.Repeatable, "true, because the route issues keys")
	}
}

// splitTolerance is how far the weights of a split may be from adding up to 100.
const splitTolerance = 1e-6

// split checks the split of a route.
func (v *validator) split(r Route) {
	v.require(r.Service == "", "service", r.Service, "empty, because the route has a split")
	// A key is issued by the service that spends it, so that the choice of a service
	// must not differ between the two.
	v.require(r.Repeatable, "repeatable", r.Repeatable, "true, because the route has a split")
	v.require(r.IssueKeysFor == "", "issueKeysFor", r.IssueKeysFor, "empty, because the route has a split")
	v.require(len(r.Split) >= 2, "split", len(r.Split), "two services or more")
	total, seen := 0.0, map[model.ServiceName]bool{}
	for _, p := range r.Split {
		v.require(isName(string(p.Service)), "split.service", p.Service, nameSyntax)
		v.require(!seen[p.Service], "split.service", p.Service, "each service once")
		v.require(p.Weight > 0 && p.Weight <= 100, "split.weight", p.Weight, "a percentage above 0")
		seen[p.Service] = true
		total += p.Weight
	}
	v.require(math.Abs(total-100) <= splitTolerance, "split", total, "weights that add up to 100")
}

func (v *validator) workspace(w Workspace) {
	const maxWeight = 1e6
	v.require(w.Weight > 0 && w.Weight <= maxWeight, "weight", w.Weight, "over 0, at most 1000000")
	v.rate("ratePerSecond", w.RatePerSecond)
}

func (v *validator) layout(l ReportLayout) {
	v.require(len(l.Columns) >= 1 && len(l.Columns) <= MaxColumns, "columns", len(l.Columns), "1 to 256 columns")
	for i, c := range l.Columns {
		field := fmt.Sprintf("columns.%d.", i)
		v.require(c.Heading != "" && isText(c.Heading), field+"heading", c.Heading, "printable text of at most 512 bytes")
		v.require(isName(c.Field), field+"field", c.Field, nameSyntax)
		v.require(len(c.Format) <= MaxNameBytes && strings.Trim(c.Format, "0#.,%") == "", field+"format", c.Format, "a number format such as 0.00")
	}
	separator := utf8.RuneCountInString(l.Separator)
	usable := separator == 0 || (separator == 1 && utf8.ValidString(l.Separator) && !strings.ContainsAny(l.Separator, "\"\r\n"))
	v.require(usable, "separator", l.Separator, "one character other than a quote or a line end")
	v.require(l.Decimal == "" || l.Decimal == "." || l.Decimal == ",", "decimal", l.Decimal, "'.' or ','")
	v.require(l.Decimal == "" || l.Decimal != l.Separator, "decimal", l.Decimal, "a character other than the separator")
}

func (v *validator) count(field string, value, low, high int) {
	v.require(value >= low && value <= high, field, value, fmt.Sprintf("%d to %d", low, high))
}

func (v *validator) share(field string, value float64) {
	v.require(value >= 0 && value <= 1, field, value, "0 to 1")
}

func (v *validator) rate(field string, value float64) {
	v.require(value >= 0 && !math.IsInf(value, 1), field, value, "at least 0; 0 means no limit")
}

func isName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !isAlphanumeric(r) && r != '.' && r != '_' && r != '-' }) < 0
}

func isAlphanumeric(r rune) bool {
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
	return lower && strings.IndexFunc(s, func(r rune) bool { return !isAlphanumeric(r) && r != '.' && r != '-' }) < 0
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
	named := name != "" && strings.IndexFunc(name, func(r rune) bool { return !isAlphanumeric(r) && r != '-' && r != '_' }) < 0
	return named && isText(s) && isText(value)
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
