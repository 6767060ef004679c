// Package detection measures the health detectors in virtual time: how soon a
// faulty backend server is ejected, how often a healthy one is ejected, and how
// the threshold trades one for the other. It runs the core packages of the
// daemons against a simulated pool and never reads the system clock.
//
// A judge is the owner or entry whose detector decides which servers to eject.
//
// The command is
//
//	go run ./experiment/detection/cmd table    # detection times of all faults
//	go run ./experiment/detection/cmd longrun  # false ejections in server-days
//	go run ./experiment/detection/cmd curve    # trade-off data and plot
package detection
