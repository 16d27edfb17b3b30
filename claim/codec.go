package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

const hashBytes = 16

const errMalformed Reason = "malformed message"

// keyOf hashes the service and key of a request. The service is hashed
// separately first, so that different pairs can't concatenate to the same
// input.
func keyOf(req Request) keyID {
	service := sha256.Sum256([]byte(req.Service))
	sum := sha256.Sum256(append(service[:], req.Key...))
	return keyID(sum[:hashBytes])
}

func partitionOf(id keyID, partitions int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(partitions))
}

func validClaim(c *claimpb.Claim) bool {
	return len(c.GetKey()) == hashBytes && len(c.GetFingerprint()) == fingerprintBytes
}

func validEnd(end *claimpb.End) bool {
	switch end.GetState() {
	case claimpb.State_STATE_NOT_RUN, claimpb.State_STATE_FINISHED, claimpb.State_STATE_UNKNOWN:
		return len(end.GetKey()) == hashBytes
	default:
		return false
	}
}

// newEnd encodes the end of an attempt. A response larger than maxResponseBytes
// is omitted.
func newEnd(id keyID, nonce uint64, state EndState, response *Response, maxResponseBytes int) *claimpb.End {
	end := &claimpb.End{Key: id[:], Attempt: nonce}
	switch state {
	case EndNotRun:
		end.State = claimpb.State_STATE_NOT_RUN
	case EndFinished:
		end.State = claimpb.State_STATE_FINISHED
		end.Answer = encodeResponse(response, maxResponseBytes)
	default:
		end.State = claimpb.State_STATE_UNKNOWN
	}
	return end
}

func encodeResponse(response *Response, maxBytes int) *claimpb.Answer {
	if response == nil || len(response.Body) > maxBytes {
		return nil
	}
	encoded := &claimpb.Answer{Status: int32(response.Status), Body: response.Body}
	for name, values := range response.Header {
		encoded.Headers = append(encoded.Headers, &claimpb.Header{Name: name, Values: values})
	}
	sort.Slice(encoded.Headers, func(i, j int) bool {
		return encoded.Headers[i].Name < encoded.Headers[j].Name
	})
	if proto.Size(encoded) > maxBytes {
		return nil
	}
	return encoded
}

func decodeResponse(encoded *claimpb.Answer) *Response {
	response := &Response{
		Status: int(encoded.GetStatus()),
		Header: make(map[string][]string, len(encoded.GetHeaders())),
		Body:   encoded.GetBody(),
	}
	for _, header := range encoded.GetHeaders() {
		response.Header[header.GetName()] = header.GetValues()
	}
	return response
}
