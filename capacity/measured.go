package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Environment describes where a section was measured.
type Environment struct {
	Go         string `json:"go"`
	CPU        string `json:"cpu"`
	GOMAXPROCS int    `json:"gomaxprocs"`
	// LoadAverage is that of the machine over the last minute, at the start
	// and the end of the section.
	LoadAverage [2]string `json:"loadAverage"`
}

// Section holds the results of one group of measurements.
type Section struct {
	Name        string      `json:"name"`
	Environment Environment `json:"environment"`
	Fits        []Fit       `json:"fits"`
}

// Measurements holds the results of all sections and the configuration state.
type Measurements struct {
	Sections []Section `json:"sections"`
	// TargetState is a daemon's configuration state at the target scale.
	TargetState StateBytes `json:"after"`
	// EarlierStates are the configuration states of earlier commits.
	EarlierStates []EarlierState `json:"earlier"`
}

// EarlierState is a daemon's configuration state at the target scale at an
// earlier commit.
type EarlierState struct {
	Commit string     `json:"commit"`
	Form   string     `json:"form"`
	State  StateBytes `json:"state"`
}

// FileError reports a file that cannot be read or written.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads Measurements from a file. The error is a *FileError.
func Load(path string) (Measurements, error) {
	var m Measurements
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &m)
	}
	if err != nil {
		return Measurements{}, &FileError{Path: path, Err: err}
	}
	return m, nil
}

// Save writes the measurements to a file. The error is a *FileError.
func (m Measurements) Save(path string) error {
	data, err := json.MarshalIndent(m, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), 0o644)
	}
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

// ReplaceSection replaces the section of the same name, or appends s if there is
// none.
func (m *Measurements) ReplaceSection(s Section) {
	i := slices.IndexFunc(m.Sections, func(x Section) bool { return x.Name == s.Name })
	if i < 0 {
		m.Sections = append(m.Sections, s)
		return
	}
	m.Sections[i] = s
}

// Fit returns the named fit.
func (m Measurements) Fit(name string) (Fit, bool) {
	for _, s := range m.Sections {
		for _, f := range s.Fits {
			if f.Name == name {
				return f, true
			}
		}
	}
	return Fit{}, false
}

// Sections names the groups of measurements in the order of the page.
var Sections = []string{"memory", "peaks", "membership", "changes", "hosts", "hostlist", "requests", "reports"}

// Command is the command that repeats a section.
func Command(section string) string { return "make capacity SECTION=" + section }

// Measure runs the named section. Sizes are those of the page; the largest take
// some seconds and 2 GB. Errors are an *UnknownSectionError and those of the parts
// measured.
func Measure(name string) (Section, error) {
	run := map[string]func() ([]Fit, error){
		"memory": measureMemory, "peaks": measurePeaks, "membership": measureMembership, "changes": measureChanges,
		"hosts": measureHosts, "hostlist": measureHostList, "requests": measureRequests, "reports": measureReports,
	}[name]
	if run == nil {
		return Section{}, &UnknownSectionError{Name: name}
	}
	s := Section{Name: name, Environment: Environment{Go: runtime.Version(), CPU: cpuName(), GOMAXPROCS: runtime.GOMAXPROCS(0)}}
	s.Environment.LoadAverage[0] = loadAverage()
	fits, err := run()
	for _, f := range fits {
		f.Command = Command(name)
		s.Fits = append(s.Fits, f.fitLine())
	}
	s.Environment.LoadAverage[1] = loadAverage()
	return s, err
}

// UnknownSectionError reports a name that is not in Sections.
type UnknownSectionError struct{ Name string }

// Error implements error.
func (e *UnknownSectionError) Error() string {
	return fmt.Sprintf("unknown section %q; known: %s", e.Name, strings.Join(Sections, ", "))
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(data))[0]
}

func cpuName() string {
	data, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(line, "model name"); ok {
			return strings.Trim(name, "\t :\n")
		}
	}
	return "unknown"
}

// cpuTime returns the CPU time that this process has used in all threads, or 0 if
// it cannot be read. Other processes on the machine affect it little.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuOf returns the CPU time that the process uses while do runs.
func cpuOf(do func() error) (time.Duration, error) {
	start := cpuTime()
	err := do()
	return cpuTime() - start, err
}
