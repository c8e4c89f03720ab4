// Package gossip lets the gateways of a deployment tell one another what load
// they put on which engine, so that several do not take the same place.
//
// Each datagram carries the whole state of its sender: one that is lost is made
// good by the next. What is told is a hint; the engines' own reservations decide.
package gossip

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
)

// message is one datagram.
type message struct {
	sender string
	// incarnation grows with each start of the sender, sequence with each message.
	incarnation, sequence uint64
	state                 gateway.PeerState
}

const (
	// formatFull and formatPartial are the first bytes of messages: the state of
	// the sender, or what changed in it. Processes of an earlier release read only
	// the former.
	formatFull    = 1
	formatPartial = 2
	// tokenUnit is the precision of token counts, in tokens.
	tokenUnit = 16
	// timeUnit is the precision of times.
	timeUnit = 10 * time.Millisecond
	// maxName, maxEngines and maxRuns bound what is accepted from the network.
	maxName    = 200
	maxEngines = 4096
	maxRuns    = 4096
)

var errFormat = errors.New("malformed gossip message")

// encode writes the message; times are sent as distances from now, since clocks differ.
func encode(m message, now time.Time) []byte {
	b := []byte{formatFull}
	if m.state.Partial {
		b[0] = formatPartial
	}
	b = appendString(b, m.sender)
	b = binary.AppendUvarint(b, m.incarnation)
	b = binary.AppendUvarint(b, m.sequence)
	b = binary.AppendUvarint(b, uint64(m.state.WaitingOnTime))
	b = binary.AppendUvarint(b, uint64(m.state.WaitingLate))
	b = binary.AppendUvarint(b, uint64(len(m.state.Engines)))
	for _, e := range m.state.Engines {
		b = appendString(b, e.ID)
		b = binary.AppendVarint(b, e.Incarnation)
		b = binary.AppendUvarint(b, uint64(max(0, e.PrefillTokens)/tokenUnit))
		b = binary.AppendUvarint(b, uint64(max(0, e.RoleChangeRemaining)/timeUnit))
		b = binary.AppendUvarint(b, uint64(len(e.Requests)))
		for _, r := range e.Requests {
			b = binary.AppendUvarint(b, uint64(r.PromptTokens/tokenUnit))
			b = binary.AppendUvarint(b, uint64(r.MedianOutputTokens/tokenUnit))
			b = binary.AppendUvarint(b, uint64(r.MaxOutputTokens/tokenUnit))
			b = binary.AppendVarint(b, int64(now.Sub(r.OutputStart)/timeUnit))
		}
	}
	b = appendCrashes(b, m.state.CrashNotices)
	return appendHead(b, m.state.QueueHead, now)
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// reader takes the fields of a message one after the other; after the first
// fault all further fields are zero.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.err != nil || n <= 0 || v > limit {
		r.err = errFormat
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	if r.err != nil || n <= 0 {
		r.err = errFormat
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) text() string {
	n := r.uvarint(maxName)
	if r.err != nil || uint64(len(r.rest)) < n {
		r.err = errFormat
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

// maxPriority bounds the rank of a route in a message.
const maxPriority = 1000

// dueUnit is the precision of a head's time: gateways must agree on the order.
const dueUnit = time.Millisecond

// The first byte of a head.
const (
	noHead = iota
	headInTime
	headLate
)

// appendHead writes the first waiting request at the end of a message: processes
// of an earlier release do not read it.
func appendHead(b []byte, h *waitqueue.Head, now time.Time) []byte {
	if h == nil {
		return append(b, noHead)
	}
	kind := byte(headInTime)
	if h.Late {
		kind = headLate
	}
	b = append(b, kind)
	b = appendString(b, h.Service)
	b = binary.AppendUvarint(b, uint64(h.Priority))
	return binary.AppendVarint(b, int64(h.Due.Sub(now)/dueUnit))
}

func (r *reader) head(now time.Time) *waitqueue.Head {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	kind := r.uvarint(headLate)
	if kind == noHead {
		return nil
	}
	h := &waitqueue.Head{Service: r.text(), Late: kind == headLate, Priority: int(r.uvarint(maxPriority))}
	distance := min(max(r.varint(), -maxDistance), maxDistance)
	h.Due = now.Add(time.Duration(distance) * dueUnit)
	return h
}

// maxCount bounds token counts and numbers of requests in a message.
const maxCount = 1 << 40

func (r *reader) tokens() int { return int(r.uvarint(maxCount)) * tokenUnit }

// maxDistance bounds how far from now a time in a message may be.
const maxDistance = int64(time.Hour / timeUnit)

// decode reads a message.
func decode(b []byte, now time.Time) (message, error) {
	if len(b) == 0 || (b[0] != formatFull && b[0] != formatPartial) {
		return message{}, errFormat
	}
	r := &reader{rest: b[1:]}
	m := message{sender: r.text(), incarnation: r.uvarint(1<<64 - 1), sequence: r.uvarint(1<<64 - 1)}
	m.state.Partial = b[0] == formatPartial
	m.state.WaitingOnTime = int(r.uvarint(maxCount))
	m.state.WaitingLate = int(r.uvarint(maxCount))
	engines := r.uvarint(maxEngines)
	for range engines {
		e := gateway.EngineLoad{ID: r.text(), Incarnation: r.varint()}
		e.PrefillTokens = int64(r.tokens())
		e.RoleChangeRemaining = time.Duration(r.uvarint(uint64(maxDistance))) * timeUnit
		runs := r.uvarint(maxRuns)
		for range runs {
			run := gateway.RequestLoad{PromptTokens: r.tokens(), MedianOutputTokens: r.tokens(), MaxOutputTokens: r.tokens()}
			distance := min(max(r.varint(), -maxDistance), maxDistance)
			run.OutputStart = now.Add(-time.Duration(distance) * timeUnit)
			if r.err != nil {
				return message{}, r.err
			}
			e.Requests = append(e.Requests, run)
		}
		if r.err != nil {
			return message{}, r.err
		}
		m.state.Engines = append(m.state.Engines, e)
	}
	m.state.CrashNotices = r.crashes()
	m.state.QueueHead = r.head(now)
	if r.err == nil && m.sender == "" {
		r.err = errFormat
	}
	return m, r.err
}
