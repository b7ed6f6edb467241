package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Layout of a frame: magic, length of the payload, checksum, kind, payload.
const (
	frameMagic      = 0x4a51574c
	lengthOffset    = 4
	checksumOffset  = 8
	kindOffset      = 12
	frameHeaderSize = 13
	maxPayload      = 1 << 30 // bytes
)

type frameKind byte

const (
	kindHeader frameKind = iota + 1 // first frame of a file, with the format version
	kindBatch                       // a batch given to Append or Rotate
	kindCommit                      // marks all preceding frames as acknowledged
	kindFile                        // the content of a file written by WriteFile
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// framePosition identifies the position of a frame. The checksum covers it.
type framePosition struct {
	salt   string // identity of the log or name of the file
	number uint64 // number of the file
	offset uint64 // bytes from the start of the file
}

// CorruptError reports corruption of acknowledged data.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// frameHeader returns what precedes the payload of a frame.
func frameHeader(position framePosition, kind frameKind, payload []byte) []byte {
	header := binary.LittleEndian.AppendUint32(nil, frameMagic)
	header = binary.LittleEndian.AppendUint32(header, uint32(len(payload)))
	header = binary.LittleEndian.AppendUint32(header, 0)
	header = append(header, byte(kind))
	sum := crc32.Update(checksum(position, header), castagnoli, payload)
	binary.LittleEndian.PutUint32(header[checksumOffset:], sum)
	return header
}

func appendFrame(dst []byte, position framePosition, kind frameKind, payload []byte) []byte {
	dst = append(dst, frameHeader(position, kind, payload)...)
	return append(dst, payload...)
}

// checksum covers the position and the frame, except the checksum field itself.
func checksum(position framePosition, frame []byte) uint32 {
	var encodedPosition [16]byte
	binary.LittleEndian.PutUint64(encodedPosition[:], position.number)
	binary.LittleEndian.PutUint64(encodedPosition[8:], position.offset)
	sum := crc32.Update(0, castagnoli, []byte(position.salt))
	sum = crc32.Update(sum, castagnoli, encodedPosition[:])
	sum = crc32.Update(sum, castagnoli, frame[:checksumOffset])
	return crc32.Update(sum, castagnoli, frame[kindOffset:])
}

// parseFrame decodes the frame at the start of data. size is its length in bytes.
func parseFrame(data []byte, position framePosition) (kind frameKind, payload []byte, size int, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[lengthOffset:])
	if length > maxPayload || int(length) > len(data)-frameHeaderSize {
		return 0, nil, 0, false
	}
	size = frameHeaderSize + int(length)
	if binary.LittleEndian.Uint32(data[checksumOffset:]) != checksum(position, data[:size]) {
		return 0, nil, 0, false
	}
	return frameKind(data[kindOffset]), data[frameHeaderSize:size], size, true
}

// validFrameAfter reports whether a valid frame starts after offset.
func validFrameAfter(data []byte, offset int, position framePosition) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for from := offset + 1; from < len(data); from++ {
		i := bytes.Index(data[from:], magic)
		if i < 0 {
			return false
		}
		from += i
		position.offset = uint64(from)
		if _, _, _, ok := parseFrame(data[from:], position); ok {
			return true
		}
	}
	return false
}
