// Package gossip exchanges load reports between the gateways of a deployment, so
// that several gateways do not send requests to the same free capacity.
//
// A message contains the full state of its sender or the part that changed. Lost
// messages are made up for by the next full state. The reports are only hints: the
// reservations of the engines decide who gets capacity.
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
	// incarnation identifies one start of the sender. sequence grows with each
	// message of an incarnation.
	incarnation, sequence uint64
	state                 gateway.PeerState
}

const (
	// formatFull and formatPartial are the first byte of a message: the full state
	// of the sender, or the changed part of it. Processes of an earlier release read
	// only formatFull.
	formatFull    = 1
	formatPartial = 2
	// tokenUnit is the resolution of token counts, in tokens.
	tokenUnit = 16
	// timeUnit is the resolution of times.
	timeUnit = 10 * time.Millisecond
	// maxStringLength, maxEngines and maxRuns limit what is accepted from the
	// network.
	maxStringLength = 200
	maxEngines      = 4096
	maxRuns         = 4096
)

var errFormat = errors.New("malformed gossip message")

// encode serializes the message. Times are sent relative to now, since the clocks of
// sender and receiver differ.
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
	b = appendNotices(b, m.state.CrashNotices)
	b = appendQueueHead(b, m.state.QueueHead, now)
	b = appendServices(b, m.state.Services)
	b = appendPrefillCounts(b, m.state.Engines)
	b = appendLimits(b, m.state.Limits, now)
	b = binary.AppendUvarint(b, uint64(min(max(0, m.state.StoreContact/timeUnit), time.Duration(maxTimeOffset))))
	b = appendLeaving(b, m.state.Leaving)
	b = appendOrigins(b, m.state.Origins, now)
	return appendExtensions(b, &m.state)
}

// Extensions of a message, in their order. Processes of an earlier release read only those
// that they know.
const (
	noExtension = iota
	extensionQuotas
	extensionWaiting
	extensionPlainLoads
	extensionHeard
	extensionDeviations
	extensionFairness
)

// appendExtensions appends the fields that most messages do not need. Empty ones after the
// last one that is not empty take no bytes.
func appendExtensions(b []byte, s *gateway.PeerState) []byte {
	last := lastExtension(s)
	if last >= extensionQuotas {
		report := s.Quotas
		if report == nil {
			report = &noQuotas
		}
		b = appendQuotas(b, report)
	}
	if last >= extensionWaiting {
		b = appendWaiting(b, s.Waiting)
	}
	if last >= extensionPlainLoads {
		b = appendPlainLoads(b, s.PlainLoads)
	}
	// Readers expect this field only after a quota report other than noQuotas.
	if last >= extensionHeard && s.Quotas != nil {
		b = appendHeard(b, s.Quotas.Heard)
	}
	if last >= extensionDeviations {
		b = appendDeviations(b, s.Deviations)
	}
	if last >= extensionFairness {
		b = appendFairness(b, s.Fairness)
	}
	return b
}

// lastExtension returns the last extension that is not empty.
func lastExtension(s *gateway.PeerState) int {
	switch {
	case s.Fairness != nil:
		return extensionFairness
	case len(s.Deviations) > 0:
		return extensionDeviations
	case s.Quotas != nil && s.Quotas.Heard != 0:
		return extensionHeard
	case len(s.PlainLoads) > 0:
		return extensionPlainLoads
	case len(s.Waiting) > 0:
		return extensionWaiting
	case s.Quotas != nil:
		return extensionQuotas
	default:
		return noExtension
	}
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// reader decodes the fields of a message in order. After the first error, all
// further fields are zero.
type reader struct {
	rest []byte
	err  error
}

// uvarint reads an unsigned number. A number above limit is an error.
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

func (r *reader) str() string {
	n := r.uvarint(maxStringLength)
	if r.err != nil || uint64(len(r.rest)) < n {
		r.err = errFormat
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

// maxPriority limits the priority of a route in a message.
const maxPriority = 1000

// dueUnit is the resolution of a queue head's due time. It is finer than timeUnit,
// since all gateways must derive the same order from it.
const dueUnit = time.Millisecond

// The first byte of an encoded queue head.
const (
	// noHead: no request is waiting.
	noHead = iota
	// headOnTime: the first waiting request can still meet its latency target.
	headOnTime
	// headLate: the first waiting request can no longer meet its latency target.
	headLate
)

// appendQueueHead appends the queue head. It comes after all fields that processes
// of an earlier release read.
func appendQueueHead(b []byte, h *waitqueue.Head, now time.Time) []byte {
	if h == nil {
		return append(b, noHead)
	}
	kind := byte(headOnTime)
	if h.Late {
		kind = headLate
	}
	b = append(b, kind)
	b = appendString(b, h.Service)
	b = binary.AppendUvarint(b, uint64(h.Priority))
	return binary.AppendVarint(b, int64(h.Due.Sub(now)/dueUnit))
}

func (r *reader) queueHead(now time.Time) *waitqueue.Head {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	kind := r.uvarint(headLate)
	if kind == noHead {
		return nil
	}
	h := &waitqueue.Head{Service: r.str(), Late: kind == headLate, Priority: int(r.uvarint(maxPriority))}
	offset := min(max(r.varint(), -maxTimeOffset), maxTimeOffset)
	h.Due = now.Add(time.Duration(offset) * dueUnit)
	return h
}

// maxCount limits token counts and numbers of requests in a message.
const maxCount = 1 << 40

func (r *reader) tokens() int { return int(r.uvarint(maxCount)) * tokenUnit }

// maxTimeOffset limits the distance of a time in a message from now, in units of the
// field.
const maxTimeOffset = int64(time.Hour / timeUnit)

func (r *reader) storeContact() time.Duration {
	if r.err != nil || len(r.rest) == 0 {
		return 0
	}
	return time.Duration(r.uvarint(uint64(maxTimeOffset))) * timeUnit
}

// decode parses a message.
func decode(b []byte, now time.Time) (message, error) {
	if len(b) == 0 || (b[0] != formatFull && b[0] != formatPartial) {
		return message{}, errFormat
	}
	r := &reader{rest: b[1:]}
	m := message{sender: r.str(), incarnation: r.uvarint(1<<64 - 1), sequence: r.uvarint(1<<64 - 1)}
	m.state.Partial = b[0] == formatPartial
	m.state.WaitingOnTime = int(r.uvarint(maxCount))
	m.state.WaitingLate = int(r.uvarint(maxCount))
	engines := r.uvarint(maxEngines)
	for range engines {
		e := gateway.EngineLoad{ID: r.str(), Incarnation: r.varint()}
		e.PrefillTokens = int64(r.tokens())
		e.RoleChangeRemaining = time.Duration(r.uvarint(uint64(maxTimeOffset))) * timeUnit
		runs := r.uvarint(maxRuns)
		for range runs {
			run := gateway.RequestLoad{PromptTokens: r.tokens(), MedianOutputTokens: r.tokens(), MaxOutputTokens: r.tokens()}
			offset := min(max(r.varint(), -maxTimeOffset), maxTimeOffset)
			run.OutputStart = now.Add(-time.Duration(offset) * timeUnit)
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
	m.state.CrashNotices = r.notices()
	m.state.QueueHead = r.queueHead(now)
	m.state.Services = r.services()
	r.prefillCounts(m.state.Engines)
	m.state.Limits = r.limits(now)
	m.state.StoreContact = r.storeContact()
	m.state.Leaving = r.leaving()
	m.state.Origins = r.origins(now)
	m.state.Quotas = r.quotas(m.state.Partial)
	m.state.Waiting = r.waiting()
	m.state.PlainLoads = r.plainLoads()
	r.heard(m.state.Quotas)
	m.state.Deviations = r.deviations()
	m.state.Fairness = r.fairness()
	if r.err == nil && m.sender == "" {
		r.err = errFormat
	}
	return m, r.err
}
