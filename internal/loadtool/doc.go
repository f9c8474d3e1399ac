// Package loadtool sends requests to entry processes and measures the responses.
//
// It takes the role of the callers and of the load balancer in front of the entry
// processes. It verifies every response: the last token of a simulated completion is
// a checksum over the request id, the prompt and the text, so a response that is
// incomplete, partly repeated or meant for another request counts as wrong, whatever
// its status. Durations are measured with the monotonic clock, starting before the
// request is sent.
//
// It doesn't start the processes that it measures, and package bench compares the
// reports of several runs.
package loadtool
