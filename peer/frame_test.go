package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

func frameOf(t testing.TB, envelope *peerpb.Envelope) []byte {
	t.Helper()
	frame, err := appendFrame(nil, envelope)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestReadFrameErrors(t *testing.T) {
	frame := frameOf(t, &peerpb.Envelope{Id: 7, Kind: peerpb.Kind_KIND_CLAIM, Payload: []byte("abc")})
	oversize := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	malformed := append(binary.BigEndian.AppendUint32(nil, 2), 0xff, 0xff)
	tests := []struct {
		name  string
		input []byte
		want  error
	}{
		{"end between frames", nil, io.EOF},
		{"truncated header", frame[:3], &TruncatedFrameError{}},
		{"truncated body", frame[:len(frame)-1], &TruncatedFrameError{}},
		{"body missing", frame[:frameHeaderBytes], &TruncatedFrameError{}},
		{"oversize", oversize, &OversizeFrameError{}},
		{"malformed", malformed, &MalformedFrameError{}},
	}
	for _, test := range tests {
		_, err := readFrame(bytes.NewReader(test.input), &peerpb.Envelope{})
		if reflect.TypeOf(err) != reflect.TypeOf(test.want) {
			t.Errorf("%s: got %T (%v), want %T", test.name, err, err, test.want)
		}
	}
}

func TestAppendFrameRefusesOversizeMessage(t *testing.T) {
	_, err := appendFrame(nil, &peerpb.Envelope{Payload: make([]byte, MaxFrameBytes+1)})
	var oversize *OversizeFrameError
	if !errors.As(err, &oversize) {
		t.Fatalf("got %v", err)
	}
}

// FuzzReadFrame checks that arbitrary input is rejected or decodes to a message
// that encodes and decodes to the same message again.
func FuzzReadFrame(f *testing.F) {
	f.Add(frameOf(f, &peerpb.Envelope{Id: 1, Kind: peerpb.Kind_KIND_SLOT_ASK, Payload: []byte("payload")}))
	f.Fuzz(func(t *testing.T, input []byte) {
		envelope := &peerpb.Envelope{}
		n, err := readFrame(bytes.NewReader(input), envelope)
		if n > len(input) {
			t.Fatalf("%d bytes read of %d", n, len(input))
		}
		if err != nil {
			return
		}
		again := &peerpb.Envelope{}
		if _, err := readFrame(bytes.NewReader(frameOf(t, envelope)), again); err != nil {
			t.Fatalf("re-encoded frame: %v", err)
		}
		if !proto.Equal(envelope, again) {
			t.Fatalf("got %v, want %v", again, envelope)
		}
	})
}
