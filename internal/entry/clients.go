package entry

import "bilberryhub/internal/wirepb"

// envelope is short for the message of all calls.
type envelope = wirepb.Envelope

// peerRef names an entry process and how to reach it.
type peerRef struct {
	id      string
	address string
}
