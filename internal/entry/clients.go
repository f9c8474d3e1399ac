package entry

import "bilberryhub/internal/wirepb"

// envelope is the message type of all calls between processes.
type envelope = wirepb.Envelope

// peerRef is the id and the wire address of an entry process.
type peerRef struct {
	id      string
	address string
}
