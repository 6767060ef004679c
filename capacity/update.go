package capacity

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
)

// UpdateMeasurements measures the named sections, all by default, prints their
// fits to w and writes them into the file, where the other sections stay. Errors
// are *FileError, *UnknownSectionError and those of the parts measured.
func UpdateMeasurements(w io.Writer, path string, names []string) error {
	m, err := Load(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if len(names) == 0 {
		names = Sections
	}
	for _, name := range names {
		s, err := Measure(name)
		if err != nil {
			return err
		}
		s.print(w)
		m.ReplaceSection(s)
		if name == "memory" {
			if m.TargetState, err = MeasureState(TargetSizes); err != nil {
				return err
			}
			fmt.Fprintf(w, "configuration state at the target: %+v\n", m.TargetState)
		}
		if err := m.Save(path); err != nil {
			return err
		}
	}
	return nil
}

// print writes the fits as a table.
func (s Section) print(w io.Writer) {
	e := s.Environment
	fmt.Fprintf(w, "%s: %s, %s, GOMAXPROCS %d, load average %s to %s\n", s.Name, e.Go, e.CPU, e.GOMAXPROCS, e.LoadAverage[0], e.LoadAverage[1])
	for _, f := range s.Fits {
		fmt.Fprintf(w, "  %-22s slope %-12.4g intercept %-12.4g error %5.1f%%  %s per %s  %v\n", f.Name, f.Slope, f.Intercept, 100*f.Error, f.Unit, f.Per, f.Points)
	}
}
