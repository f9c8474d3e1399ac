// Package loadtool sends requests to entry processes and measures the answers.
//
// It plays the callers and the balancer in front of the entry processes. Every
// answer is checked: the last token of a simulated answer is a checksum over the
// request id, the prompt and the text, so an answer that is incomplete, repeated
// in part or meant for another request counts as wrong, whatever its status.
// Times are measured with the monotonic clock, from before the request is sent.
package loadtool
