// Package detection measures the health detectors in virtual time: how soon a
// faulty backend server is ejected, how often a healthy one is, and how the
// two trade off as the threshold varies. It drives the same core packages as
// the daemons with a simulated pool; nothing is read from a clock.
//
// The command is
//
//	go run ./experiment/detection/cmd table    # detection times of all faults
//	go run ./experiment/detection/cmd longrun  # false ejections in server-days
//	go run ./experiment/detection/cmd curve    # trade-off data and plot
package detection
