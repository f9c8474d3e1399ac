package wal

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

// The payload of a frame is a protobuf message with these fields, which are
// processed in the order in which they were written.
const (
	// fieldHardState holds the term, the vote and the commit index.
	fieldHardState protowire.Number = 1
	// fieldTruncate holds the index from which on entries are removed from the
	// log.
	fieldTruncate protowire.Number = 2
	// fieldPosition holds the index and term of the last entry before this
	// segment.
	fieldPosition protowire.Number = 3
	// fieldReset discards the log in favour of a snapshot and holds the index and
	// term of the snapshot.
	fieldReset protowire.Number = 4
	// fieldEntry holds one entry.
	fieldEntry protowire.Number = 5
)

// appendMessage appends m to b as a field of a payload.
func appendMessage(b []byte, field protowire.Number, m proto.Message) ([]byte, error) {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(proto.Size(m)))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	return b, errors.Annotatef(err, "encode field %d", field)
}

// appendTruncate appends to b the removal of all entries with index >= from.
func appendTruncate(b []byte, from uint64) []byte {
	b = protowire.AppendTag(b, fieldTruncate, protowire.VarintType)
	return protowire.AppendVarint(b, from)
}

// visitor receives the fields of frames in order.
type visitor interface {
	hardState(*wirepb.HardState) error
	truncate(from uint64) error
	position(index, term uint64) error
	reset(index, term uint64) error
	entry(*wirepb.LogEntry) error
}

// visitPayload decodes a payload and passes its fields to v in order. It stops at
// the first error.
func visitPayload(payload []byte, v visitor) error {
	for len(payload) > 0 {
		field, typ, n := protowire.ConsumeTag(payload)
		if n < 0 {
			return errors.Annotate(protowire.ParseError(n), "decode tag")
		}
		payload = payload[n:]
		var err error
		if field == fieldTruncate && typ == protowire.VarintType {
			var from uint64
			if from, n = protowire.ConsumeVarint(payload); n >= 0 {
				err = v.truncate(from)
			}
		} else if typ == protowire.BytesType {
			var value []byte
			if value, n = protowire.ConsumeBytes(payload); n >= 0 {
				err = visitField(field, value, v)
			}
		} else {
			err = errors.Errorf("unknown field %d of type %d", field, typ)
		}
		if n < 0 {
			err = protowire.ParseError(n)
		}
		if err != nil {
			return errors.Annotatef(err, "field %d", field)
		}
		payload = payload[n:]
	}
	return nil
}

// visitField decodes one field and passes it to v. An unknown field is an error:
// a replica must not vote on a log that this build can interpret only in part.
func visitField(field protowire.Number, value []byte, v visitor) error {
	switch field {
	case fieldHardState:
		hs := &wirepb.HardState{}
		if err := proto.Unmarshal(value, hs); err != nil {
			return errors.Trace(err)
		}
		return v.hardState(hs)
	case fieldPosition, fieldReset, fieldEntry:
		e := &wirepb.LogEntry{}
		if err := proto.Unmarshal(value, e); err != nil {
			return errors.Trace(err)
		}
		switch field {
		case fieldPosition:
			return v.position(e.GetIndex(), e.GetTerm())
		case fieldReset:
			return v.reset(e.GetIndex(), e.GetTerm())
		default:
			return v.entry(e)
		}
	default:
		return errors.Errorf("unknown field")
	}
}
