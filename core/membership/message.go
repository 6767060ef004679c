package membership

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Update is a statement about one host. JSON names are short because updates
// make up most of the control bytes.
type Update struct {
	Host        model.HostID      `json:"h"`
	Incarnation model.Incarnation `json:"i,omitempty"`
	Version
	State State `json:"t"`
	// Info is sent for hosts that the receiver may not know.
	Info *Info `json:"n,omitempty"`
}

// KeySuccessor says which host took over the keys of a stopped incarnation.
type KeySuccessor struct {
	Issuer    model.Incarnation `json:"i"`
	Successor model.HostID      `json:"h"`
	// Hops counts the handovers so far; the highest prevails.
	Hops int `json:"n"`
	// RemainingMs is the rest of the keys' lifetime in milliseconds.
	RemainingMs int64 `json:"l"`
}

// Message is a heartbeat or its answer.
type Message struct {
	From          Update         `json:"f"`
	Epoch         model.Epoch    `json:"e,omitempty"`
	Updates       []Update       `json:"u,omitempty"`
	KeySuccessors []KeySuccessor `json:"k,omitempty"`
	// Hashes of the sections of the sender's table, on some heartbeats: one
	// per data centre, and KeySuccessorsSection.
	Hashes map[string]uint64 `json:"x,omitempty"`
	// WantInfo asks the receiver to say who it is.
	WantInfo bool `json:"w,omitempty"`
}

// KeySuccessorsSection is the name of the section of key successors. It differs
// from every data centre's name, since those are not empty.
const KeySuccessorsSection = ""

// Page is a part of one section, in order of host or issuer, starting behind
// After. It is sent and answered with the other side's page.
type Page struct {
	Section       string         `json:"s"`
	After         string         `json:"a,omitempty"`
	Updates       []Update       `json:"u,omitempty"`
	KeySuccessors []KeySuccessor `json:"k,omitempty"`
	// Next is the last name of a page that is not the section's last.
	Next string `json:"n,omitempty"`
}

// Token relates a result to the decision that asked for it.
type Token uint64

// Decision is what the driver must do: SendHeartbeat,
// SendProbeRequest, Sync, StateChanged, LinkChanged, EpochSeen or Superseded.
type Decision interface{ decision() }

// SendHeartbeat asks to send a message. Its result goes to
// HeartbeatAnswered or HeartbeatFailed, exactly once.
type SendHeartbeat struct {
	To      Host
	Token   Token
	Message Message
}

// SendProbeRequest asks Helper to probe Target. The result goes to
// IndirectProbeResult, exactly once.
type SendProbeRequest struct {
	Helper, Target Host
	Token          Token
}

// Sync asks to exchange a page with a host. The answer goes to SyncAnswered; a
// failure needs no report.
type Sync struct {
	With Host
	Page Page
}

// StateChanged reports a change of a host's state. From is zero for a new host.
type StateChanged struct {
	Host        model.HostID
	Incarnation model.Incarnation
	From, To    State
}

// LinkChanged reports that this host can no longer reach a host that others
// reach, or can again.
type LinkChanged struct {
	Host model.HostID
	Down bool
}

// EpochSeen reports the configuration epoch of a host that was heard.
type EpochSeen struct {
	Host  Host
	Epoch model.Epoch
}

// Superseded reports, once, that a newer process uses this host's ID.
type Superseded struct{ By model.Incarnation }

func (SendHeartbeat) decision()    {}
func (SendProbeRequest) decision() {}
func (Sync) decision()             {}
func (StateChanged) decision()     {}
func (LinkChanged) decision()      {}
func (EpochSeen) decision()        {}
func (Superseded) decision()       {}

// ProbeResult is what a helper found.
type ProbeResult uint8

const (
	// ProbeNoAnswer: the helper itself did not answer, so nothing is known.
	ProbeNoAnswer ProbeResult = iota
	// ProbeReached: the target answered the helper.
	ProbeReached
	// ProbeFailed: the target did not answer the helper.
	ProbeFailed
	// ProbeRefused: the target's host refused the connection, so no process
	// listens there.
	ProbeRefused
)

// Config configures a Table. Zero durations and counts use the defaults.
type Config struct {
	Self        Host
	Incarnation model.Incarnation
	// Start is the process's start in Unix milliseconds.
	Start uint64
	// NearPeers is the number of hosts of this data centre that get heartbeats.
	NearPeers int
	// FarPeers is the number of hosts in each other data centre that do.
	FarPeers int
	// SuspicionTimeout is the time in which a suspect may refute.
	SuspicionTimeout time.Duration
}

// Limits and defaults. With 3 near peers every 500 ms and at most 8 far peers
// every 2 s, a host sends and receives at most 40 messages a second with their
// answers; at 300 bytes each that is 12 KB/s of the 16 KB/s control budget.
const (
	DefaultNearPeers = 3
	DefaultFarPeers  = 2
	MaxFarPeers      = 8
	// NearHeartbeatInterval and FarInterval are the times between heartbeats.
	NearHeartbeatInterval = 500 * time.Millisecond
	FarHeartbeatInterval  = 2 * time.Second
	// urgentGap is the least time between two heartbeats to one peer when a
	// change is urgent, so that a burst of changes shares a message.
	urgentGap = 100 * time.Millisecond
	// DefaultSuspicionTimeout leaves a suspect four heartbeats of each peer to refute.
	DefaultSuspicionTimeout = 2 * time.Second
	// hearsayFactor lengthens a suspicion without own evidence. With 2, hosts
	// that had not yet heard a refutation declared running hosts unreachable at
	// 5% loss while 200 hosts started.
	hearsayFactor = 5
	// failuresToAsk is how many heartbeats in a row must time out before
	// helpers are asked. A refused connection counts as enough.
	failuresToAsk = 2
	// ProbeHelpers is the number of hosts asked for an indirect probe.
	ProbeHelpers = 3
	// MaxUpdates and MaxKeySuccessors bound a digest.
	MaxUpdates       = 6
	MaxKeySuccessors = 4
	// updateRate and updateBurst bound the updates that a host sends in a
	// second and at once, over all its messages.
	updateRate  = 36.0
	updateBurst = 36.0
	// PageSize bounds a page of a comparison.
	PageSize = 16
	// hashInterval is the time between comparisons that a host starts.
	hashInterval = 5 * time.Second
	// joinPeriod is how long after its start a host resolves a conflict about
	// its ID by raising its start; the clock of a replaced host may be behind.
	joinPeriod = 10 * time.Second
	// pauseGap is a time between two ticks that shows that this process was
	// paused. What it missed meanwhile says nothing about others.
	pauseGap = 1500 * time.Millisecond
	// isolationHold is how long verdicts wait while no peer answers at all,
	// since this host is then the more likely one to be cut off.
	isolationHold = 10 * time.Second
	// isolationPeers is the least number of peers for this conclusion.
	isolationPeers = 3
	// goneAfter is how long an unreachable host that the platform does not list
	// is kept; forgetAfter applies if this host does not read the list.
	goneAfter   = 30 * time.Second
	forgetAfter = 10 * time.Minute
	// tombstone is how long a gone host is remembered, longer than the lag of
	// the host list, so that the list does not bring it back.
	tombstone = 2 * time.Minute
	// listLag bounds how old the list's word on a host may be; a host that
	// restarted within it is not marked as leaving by the list.
	listLag = 30 * time.Second
	// reprobeInterval is the time between heartbeats to unreachable hosts, one
	// at a time, which find out that a partition is over.
	reprobeInterval = 2 * time.Second
	// sweepInterval is the time between searches for expired records.
	sweepInterval = time.Second
)
