package wal

import (
	"encoding/binary"
	"fmt"
	"math"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// A file starts with a header of 32 bytes:
//
//	magic [8]byte, version uint32, reserved uint32, sequence uint64, xxhash64 of the preceding bytes
//
// and continues with frames, each with a header of 16 bytes:
//
//	payload length uint32, header checksum uint32, checksum uint64, payload
//
// Integers are little-endian. The header checksum covers the sequence of the
// file, the offset of the frame and the length; the second checksum covers the
// first 8 bytes of the frame header and the payload. A frame is therefore valid
// only at the file and offset for which it was written.
const (
	formatVersion    = 1
	fileHeaderBytes  = 32
	frameHeaderBytes = 16
	maxFrameBytes    = math.MaxInt32
)

// magic identifies the kind of a file by its first 8 bytes.
type magic [8]byte

var (
	magicSegment  = magic{'B', 'I', 'L', 'B', 'W', 'A', 'L', 0}
	magicSnapshot = magic{'B', 'I', 'L', 'B', 'S', 'N', 'A', 'P'}
	magicIdentity = magic{'B', 'I', 'L', 'B', 'D', 'I', 'S', 'K'}
)

func appendFileHeader(b []byte, m magic, sequence uint64) []byte {
	start := len(b)
	b = append(b, m[:]...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, sequence)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b[start:]))
}

// readFileHeader checks the header of a file and returns its sequence.
func readFileHeader(name string, data []byte, m magic) (uint64, error) {
	name = filepath.Base(name)
	if len(data) < fileHeaderBytes {
		return 0, &CorruptError{File: name, Offset: int64(len(data)), Reason: "file header is incomplete"}
	}
	if magic(data[:8]) != m {
		return 0, &CorruptError{File: name, Reason: "not a file of this kind"}
	}
	if binary.LittleEndian.Uint64(data[24:]) != xxhash.Sum64(data[:24]) {
		return 0, &CorruptError{File: name, Reason: "checksum of the file header differs"}
	}
	if v := binary.LittleEndian.Uint32(data[8:]); v != formatVersion {
		return 0, errors.Errorf("file %s has format version %d, this build reads version %d", name, v, formatVersion)
	}
	return binary.LittleEndian.Uint64(data[16:]), nil
}

func headerChecksum(sequence uint64, offset int64, length uint32) uint32 {
	var b [20]byte
	binary.LittleEndian.PutUint64(b[0:], sequence)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	binary.LittleEndian.PutUint32(b[16:], length)
	return uint32(xxhash.Sum64(b[:]))
}

func frameChecksum(header, payload []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(header)
	_, _ = d.Write(payload)
	return d.Sum64()
}

// appendFrame appends to b a frame that is to be written at offset of the file
// with the given sequence.
func appendFrame(b []byte, sequence uint64, offset int64, payload []byte) []byte {
	start := len(b)
	length := uint32(len(payload))
	b = binary.LittleEndian.AppendUint32(b, length)
	b = binary.LittleEndian.AppendUint32(b, headerChecksum(sequence, offset, length))
	b = binary.LittleEndian.AppendUint64(b, frameChecksum(b[start:start+8], payload))
	return append(b, payload...)
}

// readFrame returns the payload of the frame at offset, or the reason why
// there is no valid frame.
func readFrame(data []byte, sequence uint64, offset int64) (payload []byte, reason string) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes {
		return nil, "frame header is incomplete"
	}
	length := binary.LittleEndian.Uint32(rest)
	if binary.LittleEndian.Uint32(rest[4:]) != headerChecksum(sequence, offset, length) {
		return nil, "checksum of the frame header differs"
	}
	if uint64(length) > uint64(len(rest)-frameHeaderBytes) {
		return nil, fmt.Sprintf("frame of %d bytes is incomplete", length)
	}
	payload = rest[frameHeaderBytes : frameHeaderBytes+int(length)]
	if binary.LittleEndian.Uint64(rest[8:]) != frameChecksum(rest[:8], payload) {
		return nil, "checksum of the frame differs"
	}
	return payload, ""
}

// scanFrames calls fn for each frame after the file header and returns the offset
// of the end of the last valid frame. The argument last states whether the file
// is the newest segment.
//
// A frame is written only after all earlier ones are durable. An invalid frame
// that precedes a valid one, or is in a file that is not the last, was therefore
// acknowledged, and is reported as corrupt. Any other invalid remainder is the
// torn tail of a write that was never acknowledged.
func scanFrames(name string, sequence uint64, data []byte, last bool, fn func(payload []byte) error) (int64, error) {
	name = filepath.Base(name)
	offset := int64(fileHeaderBytes)
	for offset < int64(len(data)) {
		payload, reason := readFrame(data, sequence, offset)
		if reason != "" {
			if !last || hasFrameAfter(data, sequence, offset) {
				return 0, &CorruptError{File: name, Offset: offset, Reason: reason}
			}
			return offset, nil
		}
		if err := fn(payload); err != nil {
			return 0, &CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		offset += frameHeaderBytes + int64(len(payload))
	}
	return offset, nil
}

// hasFrameAfter reports whether a valid frame starts anywhere after offset.
func hasFrameAfter(data []byte, sequence uint64, offset int64) bool {
	for o := offset + 1; o+frameHeaderBytes <= int64(len(data)); o++ {
		if _, reason := readFrame(data, sequence, o); reason == "" {
			return true
		}
	}
	return false
}

// readSingleFrame returns the sequence and the payload of a file that holds
// exactly one frame.
func readSingleFrame(name string, data []byte, m magic) (sequence uint64, payload []byte, err error) {
	sequence, err = readFileHeader(name, data, m)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	payload, reason := readFrame(data, sequence, fileHeaderBytes)
	if reason == "" && fileHeaderBytes+frameHeaderBytes+len(payload) != len(data) {
		reason = "content follows the only frame"
	}
	if reason != "" {
		return 0, nil, &CorruptError{File: filepath.Base(name), Offset: fileHeaderBytes, Reason: reason}
	}
	return sequence, payload, nil
}
