package membership

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Update reports the state of one host. JSON keys are short because updates make
// up most of the control traffic.
type Update struct {
	Host        model.HostID      `json:"h"`
	Incarnation model.Incarnation `json:"i,omitempty"`
	Version
	State State `json:"t"`
	// Info is set for a host that the receiver may not know.
	Info *Info `json:"n,omitempty"`
}

// KeySuccessor says which host took over the keys of a stopped incarnation.
type KeySuccessor struct {
	Issuer    model.Incarnation `json:"i"`
	Successor model.HostID      `json:"h"`
	// Hops is the number of handovers so far. The entry with the highest wins.
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
	// Hashes holds, on some heartbeats, a hash of each section of the sender's
	// table. There is one section per data centre, and KeySuccessorsSection.
	Hashes map[string]uint64 `json:"x,omitempty"`
	// WantInfo asks the receiver to send its own Info.
	WantInfo bool `json:"w,omitempty"`
}

// KeySuccessorsSection is the name of the section of key successors. It differs
// from every data centre's name, since those are not empty.
const KeySuccessorsSection = ""

// Page is a part of one section, ordered by host or issuer and starting after the
// name After. The receiver answers with its own page of the same part.
type Page struct {
	Section       string         `json:"s"`
	After         string         `json:"a,omitempty"`
	Updates       []Update       `json:"u,omitempty"`
	KeySuccessors []KeySuccessor `json:"k,omitempty"`
	// Next is the last name on this page, or empty on the section's last page.
	Next string `json:"n,omitempty"`
}

// Token matches a result to the decision that requested it.
type Token uint64

// Decision is what the driver must execute or handle: SendHeartbeat,
// SendProbeRequest, Sync, StateChanged, LinkChanged, EpochSeen or Superseded.
type Decision interface{ decision() }

// SendHeartbeat requests that a message be sent. Its result goes to
// HeartbeatAnswered or HeartbeatFailed, exactly once.
type SendHeartbeat struct {
	To      Host
	Token   Token
	Message Message
}

// SendProbeRequest requests that Helper be asked to probe Target. The result goes
// to IndirectProbeResult, exactly once.
type SendProbeRequest struct {
	Helper, Target Host
	Token          Token
}

// Sync requests an exchange of pages with a host. The answer goes to SyncAnswered.
// A failure need not be reported.
type Sync struct {
	With Host
	Page Page
}

// StateChanged reports a change of a host's state or Info, or a new key successor.
// From is zero for a new host or a new process of it, and equals To if only Info
// changed. For a key successor both are zero, Host is the successor and
// Incarnation the issuer.
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

// EpochSeen reports that a host announced a newer configuration epoch than this
// host's.
type EpochSeen struct {
	Host  Host
	Epoch model.Epoch
}

// Superseded reports that a newer process uses this host's ID. It is emitted once.
type Superseded struct{ By model.Incarnation }

func (SendHeartbeat) decision()    {}
func (SendProbeRequest) decision() {}
func (Sync) decision()             {}
func (StateChanged) decision()     {}
func (LinkChanged) decision()      {}
func (EpochSeen) decision()        {}
func (Superseded) decision()       {}

// ProbeResult is the result of an indirect probe.
type ProbeResult uint8

const (
	// ProbeNoAnswer means that the helper did not answer, so the target's state
	// is not known.
	ProbeNoAnswer ProbeResult = iota
	// ProbeReached means that the target answered the helper.
	ProbeReached
	// ProbeFailed means that the target did not answer the helper.
	ProbeFailed
	// ProbeRefused means that the target's host refused the connection, so no
	// process listens there.
	ProbeRefused
)

// Config configures a Table. Zero durations and peer counts select the defaults.
type Config struct {
	Self        Host
	Incarnation model.Incarnation
	// Start is the process's start in Unix milliseconds.
	Start uint64
	// NearPeers is the number of peers in this host's data centre. Peers are the
	// hosts that heartbeats are sent to.
	NearPeers int
	// FarPeers is the number of peers in each other data centre. In total there
	// are at most MaxFarPeers far peers.
	FarPeers int
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout time.Duration
}

// Limits and defaults. With 3 near peers every 500 ms and at most 8 far peers
// every 2 s, a host sends and receives at most 40 messages a second, answers
// included. At 300 bytes each that is 12 KB/s of the 16 KB/s control budget.
const (
	DefaultNearPeers = 3
	DefaultFarPeers  = 2
	MaxFarPeers      = 8
	// NearHeartbeatInterval and FarHeartbeatInterval are the times between
	// heartbeats to one peer in this and in another data centre.
	NearHeartbeatInterval = 500 * time.Millisecond
	FarHeartbeatInterval  = 2 * time.Second
	// minHeartbeatGap is the least time between two heartbeats to one peer when a
	// change is urgent. A burst of changes then shares one message.
	minHeartbeatGap = 100 * time.Millisecond
	// DefaultSuspicionTimeout leaves time for four heartbeats from each peer, which
	// a suspect can answer with a refutation.
	DefaultSuspicionTimeout = 2 * time.Second
	// remoteSuspicionFactor extends the suspicion timeout on hosts without a failed
	// heartbeat of their own. With 2, hosts that had not yet received a refutation
	// declared running hosts unreachable at 5% loss while 200 hosts started.
	remoteSuspicionFactor = 5
	// failuresBeforeProbe is the number of consecutive heartbeats that must time
	// out before an indirect probe. One refused connection is enough.
	failuresBeforeProbe = 2
	// ProbeHelpers is the maximum number of hosts asked for an indirect probe.
	ProbeHelpers = 3
	// MaxUpdates and MaxKeySuccessors bound a digest.
	MaxUpdates       = 6
	MaxKeySuccessors = 4
	// updateRate and updateBurst bound the updates that a host sends per second
	// and at once, over all its messages.
	updateRate  = 36.0
	updateBurst = 36.0
	// PageSize bounds the number of entries on a page.
	PageSize = 16
	// hashInterval is the time between comparisons that a host starts.
	hashInterval = 5 * time.Second
	// joinPeriod is the time after its start in which a host resolves a conflict
	// about its ID by raising its start. The clock of a replacement host may be
	// behind its predecessor's.
	joinPeriod = 10 * time.Second
	// minPause is the time between two ticks from which on this process is taken
	// to have been paused. Answers missed during a pause are no evidence against
	// other hosts.
	minPause = 1500 * time.Millisecond
	// maxIsolationHold is the longest time that suspects are not declared
	// unreachable while no peer answers at all. In that case this host is more
	// likely to be cut off than all its peers.
	maxIsolationHold = 10 * time.Second
	// minIsolationPeers is the least number of peers for this rule to apply.
	minIsolationPeers = 3
	// goneAfter is how long an unreachable host that the platform does not list
	// is kept. goneAfterWithoutList applies instead if this host has not read the
	// list recently.
	goneAfter            = 30 * time.Second
	goneAfterWithoutList = 10 * time.Minute
	// tombstoneRetention is how long the record of a gone host is kept. It is
	// longer than the lag of the host list, so that the list does not add the host
	// again.
	tombstoneRetention = 2 * time.Minute
	// maxListLag bounds the age of the host list's entries. A leaving mark in the
	// list is ignored if the host restarted within this time, because the mark may
	// belong to the previous process.
	maxListLag = 30 * time.Second
	// reprobeInterval is the time between heartbeats to unreachable hosts. They
	// are sent to one host at a time and detect the end of a partition.
	reprobeInterval = 2 * time.Second
	// sweepInterval is the time between removals of expired records.
	sweepInterval = time.Second
)
