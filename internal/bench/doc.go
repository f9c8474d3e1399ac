// Package bench compares dispatch policies and allocation rules.
//
// The policy experiment runs real processes: the same workload is sent to entry
// processes with each dispatch policy in front of the same simulated engines, and
// what callers see is compared. The allocation experiment is a simulation of the
// single decision how many engines serve long prompts; it needs many hours of
// simulated traffic, which processes cannot give in minutes.
package bench
