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

// keyOf hashes the service and key of a request. The service is hashed first,
// so that no two pairs share an encoding.
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

// endOf encodes the end of an attempt. An answer larger than maxAnswer bytes
// is left out.
func endOf(id keyID, nonce uint64, state EndState, answer *Answer, maxAnswer int) *claimpb.End {
	end := &claimpb.End{Key: id[:], Attempt: nonce}
	switch state {
	case EndNotRun:
		end.State = claimpb.State_STATE_NOT_RUN
	case EndFinished:
		end.State = claimpb.State_STATE_FINISHED
		end.Answer = encodeAnswer(answer, maxAnswer)
	default:
		end.State = claimpb.State_STATE_UNKNOWN
	}
	return end
}

func encodeAnswer(answer *Answer, maxBytes int) *claimpb.Answer {
	if answer == nil || len(answer.Body) > maxBytes {
		return nil
	}
	encoded := &claimpb.Answer{Status: int32(answer.Status), Body: answer.Body}
	for name, values := range answer.Header {
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

func answerOf(encoded *claimpb.Answer) *Answer {
	answer := &Answer{
		Status: int(encoded.GetStatus()),
		Header: make(map[string][]string, len(encoded.GetHeaders())),
		Body:   encoded.GetBody(),
	}
	for _, header := range encoded.GetHeaders() {
		answer.Header[header.GetName()] = header.GetValues()
	}
	return answer
}
