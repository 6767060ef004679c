package main

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/examples"
	"github.com/agateusher/agateusher/loadgen"
)

// options holds the command-line options.
type options struct {
	Entries            []string `short:"e" long:"entry" required:"true" description:"caller listener of a daemon, ip:port; may be repeated"`
	Host               string   `long:"host" description:"host name of the requests; default: the entry's address"`
	Objects            string   `long:"objects" description:"take workspaces and operations from this objects file"`
	Rate               float64  `long:"rate" default:"100" description:"total requests per second with --objects, shared by the workspaces' weights"`
	NonRepeatableShare float64  `long:"once-share" default:"0.1" description:"share of requests that must not repeat, with --objects"`
	Workspaces         []string `long:"workspace" value-name:"ID=RATE" description:"workspace and its requests per second; may be repeated; replaces those of --objects"`
	Lookups            []string `long:"lookup" value-name:"METHOD:PATH=WEIGHT" description:"repeatable operation; may be repeated; replaces those of --objects"`
	NonRepeatable      []string `long:"once" value-name:"METHOD:PATH=WEIGHT" description:"operation that must not repeat; may be repeated; replaces those of --objects"`

	Arrivals      string        `long:"arrivals" default:"poisson" choice:"poisson" choice:"fixed" description:"arrival process"`
	Duration      time.Duration `short:"d" long:"duration" default:"10s" description:"how long requests are sent"`
	Bytes         int           `long:"bytes" default:"512" description:"payload of an answer"`
	Timeout       time.Duration `long:"timeout" default:"10s" description:"how long a caller waits for one answer"`
	Repeats       int           `long:"repeats" default:"2" description:"repeats of a request whose answer was lost"`
	RepeatUnknown bool          `long:"repeat-unknown" description:"also repeat requests whose outcome is unknown"`
	KeyBatch      int           `long:"key-batch" default:"20" description:"idempotency keys obtained at a time"`
	MaxInFlight   int           `long:"max-in-flight" default:"20000" description:"open requests beyond which requests are not sent"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of arrivals and the choice of operations"`

	Admin       string   `long:"standin-admin" description:"administration of the stand-in servers, for direct calls, checks and faults"`
	DirectShare float64  `long:"direct-share" default:"0.1" description:"ratio of direct calls to requests"`
	Daemons     []string `long:"daemon" description:"admin address of a daemon, to find false ejections; may be repeated"`

	FaultServer string        `long:"fault-server" description:"backend server that fails during the run"`
	FaultAt     time.Duration `long:"fault-at" default:"3s" description:"begin of the fault, from the start of the run"`
	FaultFor    time.Duration `long:"fault-for" default:"0s" description:"length of the fault; 0: until the end"`
	Fault       string        `long:"fault" default:"{\"stall\":true}" description:"the fault, as the stand-in's JSON"`
	Quiet       time.Duration `long:"quiet" default:"1s" description:"time without new requests after which a server counts as ejected"`

	Output    string `short:"o" long:"output" default:"table" choice:"table" choice:"json" description:"output format"`
	PerSecond bool   `long:"per-second" description:"include the time series in the table"`
}

func (o options) config() (loadgen.Config, error) {
	c := loadgen.Config{
		Entries: o.Entries, Host: o.Host, Arrivals: loadgen.ArrivalKind(o.Arrivals), Duration: o.Duration,
		Bytes: o.Bytes, Timeout: o.Timeout, Repeats: o.Repeats, RepeatUnknown: o.RepeatUnknown,
		KeyBatch: o.KeyBatch, MaxInFlight: o.MaxInFlight, Seed: o.Seed,
		StandinAdmin: o.Admin, DirectShare: o.DirectShare, Daemons: o.Daemons, QuietPeriod: o.Quiet,
	}
	if o.Repeats == 0 {
		c.Repeats = -1
	}
	if err := o.setLoad(&c); err != nil {
		return c, err
	}
	if o.FaultServer == "" {
		return c, nil
	}
	plan := &loadgen.FaultPlan{Server: model.ServerID(o.FaultServer), At: o.FaultAt, For: o.FaultFor}
	decoder := json.NewDecoder(strings.NewReader(o.Fault))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan.Faults); err != nil {
		return c, &loadgen.ConfigError{Field: "fault", Value: o.Fault, Expected: "the stand-in's faults as JSON: " + err.Error()}
	}
	if err := plan.Faults.Validate(); err != nil {
		return c, err
	}
	c.Fault = plan
	return c, nil
}

// setLoad sets workspaces and operations: those of the objects file, replaced by
// those of the command line.
func (o options) setLoad(c *loadgen.Config) error {
	if o.Objects != "" {
		objects, err := examples.ReadObjects(o.Objects)
		if err != nil {
			return err
		}
		c.Workspaces = loadgen.WorkspacesOf(objects, o.Rate)
		c.Operations = loadgen.OperationsOf(objects, o.NonRepeatableShare)
	}
	if len(o.Workspaces) > 0 {
		c.Workspaces = nil
	}
	for _, text := range o.Workspaces {
		id, rate, err := parseNameAndNumber("workspace", text)
		if err != nil {
			return err
		}
		c.Workspaces = append(c.Workspaces, loadgen.Workspace{ID: model.WorkspaceID(id), RatePerSecond: rate})
	}
	if len(o.Lookups)+len(o.NonRepeatable) > 0 {
		c.Operations = nil
	}
	if err := addOperations(c, o.Lookups, true); err != nil {
		return err
	}
	return addOperations(c, o.NonRepeatable, false)
}

func addOperations(c *loadgen.Config, texts []string, repeatable bool) error {
	for _, text := range texts {
		name, weight, err := parseNameAndNumber("operation", text)
		if err != nil {
			return err
		}
		method, path, found := strings.Cut(name, ":")
		if !found || !strings.HasPrefix(path, "/") {
			return &loadgen.ConfigError{Field: "operation", Value: text, Expected: "METHOD:/path=WEIGHT"}
		}
		c.Operations = append(c.Operations, loadgen.Operation{Method: method, Path: path, Repeatable: repeatable, Weight: weight})
	}
	return nil
}

func parseNameAndNumber(field, text string) (string, float64, error) {
	at := strings.LastIndexByte(text, '=')
	if at <= 0 {
		return "", 0, &loadgen.ConfigError{Field: field, Value: text, Expected: "NAME=NUMBER"}
	}
	number, err := strconv.ParseFloat(text[at+1:], 64)
	if err != nil {
		return "", 0, &loadgen.ConfigError{Field: field, Value: text, Expected: "NAME=NUMBER"}
	}
	return text[:at], number, nil
}
