package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes is the largest size of an encoded message, without the
	// frame header.
	MaxFrameBytes = 4 << 20
	// frameHeaderBytes is the size of the big-endian length prefix.
	frameHeaderBytes = 4
	// frameChunkBytes bounds the memory that is allocated ahead of the
	// received data.
	frameChunkBytes = 64 << 10
)

// OversizeFrameError reports a message larger than a frame may carry.
type OversizeFrameError struct {
	// Bytes is the encoded size of the message.
	Bytes int
}

func (e *OversizeFrameError) Error() string {
	return fmt.Sprintf("peer: frame of %d bytes exceeds the limit of %d", e.Bytes, MaxFrameBytes)
}

// TruncatedFrameError reports a stream that ended in the middle of a frame.
type TruncatedFrameError struct {
	// Want and Got are the expected and received bytes of the truncated
	// header or body.
	Want, Got int
}

func (e *TruncatedFrameError) Error() string {
	return fmt.Sprintf("peer: stream ended after %d of %d bytes of a frame", e.Got, e.Want)
}

// MalformedFrameError reports a frame or payload that does not decode as the
// expected message.
type MalformedFrameError struct {
	Err error
}

func (e *MalformedFrameError) Error() string {
	return fmt.Sprintf("peer: malformed frame: %v", e.Err)
}

// Unwrap returns the cause.
func (e *MalformedFrameError) Unwrap() error { return e.Err }

// appendFrame appends the length-prefixed encoding of msg to buf.
func appendFrame(buf []byte, msg proto.Message) ([]byte, error) {
	size := proto.Size(msg)
	if size > MaxFrameBytes {
		return buf, &OversizeFrameError{Bytes: size}
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, msg)
}

// readFrame decodes one frame into msg and returns the bytes read from r. It
// returns [io.EOF] if the stream ends between two frames.
func readFrame(r io.Reader, msg proto.Message) (int, error) {
	var header [frameHeaderBytes]byte
	if n, err := io.ReadFull(r, header[:]); err != nil {
		return n, truncated(err, frameHeaderBytes, n)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return frameHeaderBytes, &OversizeFrameError{Bytes: int(size)}
	}
	body, err := readBody(r, int(size))
	total := frameHeaderBytes + len(body)
	if err != nil {
		return total, err
	}
	if err := proto.Unmarshal(body, msg); err != nil {
		return total, &MalformedFrameError{Err: err}
	}
	return total, nil
}

// readBody reads size bytes in chunks, so that a corrupt length prefix does not
// cause a large allocation.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, frameChunkBytes))
	for len(body) < size {
		have := len(body)
		chunk := min(size-have, frameChunkBytes)
		body = append(body, make([]byte, chunk)...)
		n, err := io.ReadFull(r, body[have:])
		if err != nil {
			return body[:have+n], truncatedBody(err, size, have+n)
		}
	}
	return body, nil
}

func truncated(err error, want, got int) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &TruncatedFrameError{Want: want, Got: got}
	}
	return err
}

func truncatedBody(err error, want, got int) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return truncated(err, want, got)
}
