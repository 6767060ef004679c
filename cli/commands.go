package cli

// commandInfo is the description of a sub-command for the parser.
type commandInfo struct {
	name, short, long string
	data              command
}

// commands returns a new instance of each sub-command, in the order of the help
// text.
func commands() []commandInfo {
	return []commandInfo{
		{"apply", "Apply a file of objects as one change", applyHelp, &applyCommand{}},
		{"diff", "Show what applying a file would change", diffHelp, &diffCommand{}},
		{"get", "Show objects of a kind, or one of them", getHelp, &getCommand{}},
		{"rollout", "Show which hosts run an epoch", rolloutHelp, &rolloutCommand{}},
		{"hosts", "Show the hosts of the fleet", hostsHelp, &hostsCommand{}},
		{"pools", "Show pools and their backend servers", poolsHelp, &poolsCommand{}},
		{"drain", "Take a backend server out of service gracefully", drainHelp, &stateCommand{action: drain}},
		{"eject", "Take a backend server out of service, if the floor allows", ejectHelp, &stateCommand{action: eject}},
		{"readmit", "Return a backend server to service", readmitHelp, &stateCommand{action: readmit}},
		{"report", "Print a daily report as CSV", reportHelp, &reportCommand{}},
		{"explain", "Explain one request from logs of usher-edge", explainHelp, &explainCommand{}},
		{"failures", "Count failed requests by cause from logs of usher-edge", failuresHelp, &failuresCommand{}},
	}
}

const applyHelp = `Applies all objects of a file as one change, or none of them.

The change is made against the current epoch, or against --epoch, and is refused
as a conflict if another operator's change was accepted first.

Examples:
  $ usherctl apply -f change.json
  $ usherctl apply -f change.json --epoch 41 --wait --timeout 20s
  $ generate | usherctl apply -f -`

const diffHelp = `Compares a file with the current configuration and changes nothing. The
epoch in the output can be given to apply as --epoch.

Examples:
  $ usherctl diff -f change.json
  $ usherctl -o json diff -f change.json`

const getHelp = `Kinds: services, servers, routes, workspaces, layouts. The JSON output can be
applied again.

Examples:
  $ usherctl get servers
  $ usherctl -o json get service booking`

const rolloutHelp = `Sorts the hosts into those that run the epoch or a later one, those that run an
earlier one and those that do not answer. Without an epoch: the current one.

Examples:
  $ usherctl rollout
  $ usherctl rollout 42`

const hostsHelp = `Shows the platform's host list with the status that each daemon reports.

Examples:
  $ usherctl hosts
  $ usherctl -o json hosts`

const poolsHelp = `Shows each pool as its owner reports it, with the state of every backend server
and the evidence for it.

Examples:
  $ usherctl pools
  $ usherctl pools --service booking`

const drainHelp = `The backend server receives no new requests and completes its running ones.

Examples:
  $ usherctl drain booking-07`

const ejectHelp = `Refused if the remaining healthy capacity would be below the service's floor.

Examples:
  $ usherctl eject booking-07`

const readmitHelp = `Returns a drained or ejected backend server to service as its health allows.

Examples:
  $ usherctl readmit booking-07`

const reportHelp = `Writes the CSV to standard output exactly in the format of the layout. Hosts whose
data are missing or incomplete are named on standard error.

Examples:
  $ usherctl report --day 2026-12-03 --layout settlement > report.csv
  $ usherctl -o json report --day 2026-12-03 --layout settlement`
