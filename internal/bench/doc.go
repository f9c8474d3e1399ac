// Package bench compares dispatch policies and allocation rules.
//
// The policy experiment runs real processes: the load tool sends the same workload
// to entry processes with each dispatch policy in front of the same simulated
// engines, and this package compares the reports of what callers observed. It
// doesn't start the processes or send the load itself.
//
// The allocation experiment simulates only the decision how many engines serve long
// prompts. It needs many hours of simulated traffic, which processes cannot run
// within minutes.
package bench
